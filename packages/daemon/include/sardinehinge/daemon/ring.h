#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace sardinehinge::daemon {

/// A bounded queue from one thread to another. One producer thread, one consumer thread.
///
/// `wake` is called by the producer when the consumer may be asleep; it should make the consumer call drain().
template<typename T>
class Ring
{
public:
    Ring(std::size_t capacity, std::function<void()> wake)
        : m_queue(capacity)
        , m_wake(std::move(wake))
    {
    }

    ~Ring()
    {
        m_queue.consume_all([](T *value) { delete value; });
    }

    Ring(const Ring &) = delete;
    Ring &operator=(const Ring &) = delete;

    /// False when the ring is full: the value is dropped and counted, and the caller acts on it.
    bool push(T value)
    {
        auto owned = std::make_unique<T>(std::move(value));
        if (!m_queue.push(owned.get())) {
            m_refused.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        (void)owned.release(); // The queue owns it now.
        if (!m_isWakePending.exchange(true))
            m_wake();
        return true;
    }

    /// Calls `take` with each value that is here, in order. After an exception of `take` the consumer is woken again
    /// for the values that are left.
    template<typename Function>
    void drain(Function take)
    {
        // Cleared first: a value pushed from now on wakes the consumer again.
        m_isWakePending.store(false);
        try {
            T *value = nullptr;
            while (m_queue.pop(value)) {
                const std::unique_ptr<T> owned(value);
                take(std::move(*owned));
            }
        } catch (...) {
            if (!m_isWakePending.exchange(true))
                m_wake();
            throw;
        }
    }

    /// Values that found the ring full so far.
    std::uint64_t refused() const noexcept { return m_refused.load(std::memory_order_relaxed); }

private:
    boost::lockfree::spsc_queue<T *> m_queue;
    std::function<void()> m_wake;
    std::atomic<bool> m_isWakePending = false;
    std::atomic<std::uint64_t> m_refused = 0;
};

} // namespace sardinehinge::daemon
