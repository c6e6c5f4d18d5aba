# The tests that KNOWN-RED.txt lists. To be sourced.

# known_red FILE: their names, one a line.
known_red() { sed -n 's/^test: //p' "$1"; }

# known_red_options FILE BUILD: options of ctest that leave out exactly these tests, one a line. Fails if there is no such
# test: what was renamed or repaired must not stay in the list.
known_red_options() {
  local name pattern= tests
  tests=$(ctest --test-dir "$2" --show-only | sed -n 's/^ *Test *#[0-9]*: //p')
  while read -r name; do
    grep -qxF -e "$name" <<<"$tests" || { echo "KNOWN-RED.txt lists a test that doesn't exist: $name" >&2; return 1; }
    pattern+="|$(sed 's/[][().*+?^$|\\]/\\&/g' <<<"$name")"
  done < <(known_red "$1")
  [ -z "$pattern" ] || printf '%s\n' --exclude-regex "^(${pattern#|})\$"
}
