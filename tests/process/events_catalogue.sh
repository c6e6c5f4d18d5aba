# docs/EVENTS.md names each event number of the code once, and no other.
set -euo pipefail
cd "$(dirname "$0")/../.."
code=$(sed -n 's/^constexpr std::uint32_t [a-zA-Z]* = \([0-9]*\);.*/\1/p' packages/core/include/sardinehinge/core/eventnumbers.h | sort)
docs=$(sed -n 's/^| \([0-9][0-9]*\) |.*/\1/p' docs/EVENTS.md | sort)
diff <(echo "$code") <(echo "$docs") && echo "the catalogue and the code name the same events"
