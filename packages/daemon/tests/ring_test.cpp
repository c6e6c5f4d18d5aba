#include <sardinehinge/daemon/ring.h>
#include <sardinehinge/daemon/worker.h>

#include <catch2/catch.hpp>

#include <future>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using sardinehinge::daemon::Ring;

TEST_CASE("A task that throws ends alone: its worker reports it and runs the next tasks")
{
    sardinehinge::daemon::Worker worker("test");
    std::vector<std::string> errors;
    worker.onError([&errors](const std::string &detail) { errors.push_back(detail); });
    std::promise<void> done;
    boost::asio::post(worker.context(), [] { throw std::bad_alloc(); });
    boost::asio::post(worker.context(), [] { throw std::runtime_error("unexpected"); });
    boost::asio::post(worker.context(), [&done] { done.set_value(); });
    worker.start();
    CHECK(done.get_future().wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    worker.stop();
    CHECK(errors == std::vector<std::string>{"std::bad_alloc", "unexpected"});
}

TEST_CASE("A full ring refuses, counts, and keeps what it has")
{
    int wakes = 0;
    Ring<std::string> ring(2, [&wakes] { ++wakes; });
    CHECK(ring.push("a"));
    CHECK(ring.push("b"));
    CHECK_FALSE(ring.push("c"));
    CHECK(ring.refused() == 1);
    CHECK(wakes == 1);
    std::vector<std::string> taken;
    ring.drain([&taken](std::string value) { taken.push_back(std::move(value)); });
    CHECK(taken == std::vector<std::string>{"a", "b"});
    CHECK(ring.push("d"));
    CHECK(wakes == 2);
}

TEST_CASE("A value whose handling throws is taken once, and the values behind it aren't lost")
{
    int wakes = 0;
    Ring<std::string> ring(4, [&wakes] { ++wakes; });
    for (const char *value : {"a", "throws", "c"})
        REQUIRE(ring.push(value));
    std::vector<std::string> taken;
    const auto take = [&taken](std::string value) {
        taken.push_back(value);
        if (value == "throws")
            throw std::runtime_error("unexpected");
    };
    CHECK_THROWS_AS(ring.drain(take), std::runtime_error);
    CHECK(wakes == 2);
    ring.drain(take);
    CHECK(taken == std::vector<std::string>{"a", "throws", "c"});
}

TEST_CASE("Everything that one thread pushes reaches the other in order")
{
    constexpr int count = 200'000;
    std::atomic<bool> isAwake = false;
    Ring<int> ring(64, [&isAwake] { isAwake = true; });
    std::thread producer([&ring] {
        for (int value = 0; value < count; ++value) {
            while (!ring.push(value))
                std::this_thread::yield();
        }
    });
    int expected = 0;
    bool inOrder = true;
    while (expected < count) {
        if (!isAwake.exchange(false)) {
            std::this_thread::yield();
            continue;
        }
        ring.drain([&](int value) { inOrder = inOrder && value == expected++; });
    }
    producer.join();
    CHECK(inOrder);
}
