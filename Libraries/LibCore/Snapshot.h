#pragma once

#include <memory>
#include <mutex>
#include <utility>

#if defined(JUJUBE_THREAD_SANITIZER)
#include <shared_mutex>
#else
#include <urcu/urcu-memb.h>
#endif

namespace Core {

#if !defined(JUJUBE_THREAD_SANITIZER)
/// Registers the current thread as an RCU reader until the thread ends. A thread may
/// register only once, whatever the types of the snapshots it reads.
class SnapshotReaderThread
{
public:
    static void ensureRegistered() { thread_local const SnapshotReaderThread thread; }

private:
    SnapshotReaderThread() { urcu_memb_register_thread(); }
    ~SnapshotReaderThread() { urcu_memb_unregister_thread(); }
};
#endif

/// A value that many threads read without blocking and that is replaced as a whole
/// (read-copy-update). A reader must not suspend a coroutine inside read(); to keep the value
/// longer it copies the shared pointer that share() returns.
template <typename T>
class Snapshot
{
public:
    explicit Snapshot(std::shared_ptr<const T> first)
        : m_current(new std::shared_ptr<const T>(std::move(first)))
    { }
    ~Snapshot() { delete m_current; }
    Snapshot(const Snapshot &) = delete;
    Snapshot &operator=(const Snapshot &) = delete;

    /// Calls reader with the current value and returns its result.
    template <typename Reader>
    auto read(Reader &&reader) const
    {
        ReadSection section(*this);
        return std::forward<Reader>(reader)(**section.current());
    }

    /// Returns a shared pointer to the current value, which stays valid after replacements.
    std::shared_ptr<const T> share() const
    {
        ReadSection section(*this);
        return *section.current();
    }

    /// Replaces the value. Blocks until no reader uses the old one.
    void replace(std::shared_ptr<const T> next)
    {
        auto *fresh = new std::shared_ptr<const T>(std::move(next));
        std::scoped_lock lock(m_writer);
#if defined(JUJUBE_THREAD_SANITIZER)
        std::unique_lock exclusive(m_readers);
        delete std::exchange(m_current, fresh);
#else
        auto *old = m_current;
        rcu_set_pointer(&m_current, fresh);
        urcu_memb_synchronize_rcu();
        delete old;
#endif
    }

private:
#if defined(JUJUBE_THREAD_SANITIZER)
    // ThreadSanitizer does not understand liburcu's barriers, so its build uses a lock instead.
    struct ReadSection
    {
        explicit ReadSection(const Snapshot &owner)
            : lock(owner.m_readers)
            , owner(owner)
        { }
        const std::shared_ptr<const T> *current() const { return owner.m_current; }
        std::shared_lock<std::shared_mutex> lock;
        const Snapshot &owner;
    };
    mutable std::shared_mutex m_readers;
#else
    struct ReadSection
    {
        explicit ReadSection(const Snapshot &owner)
            : owner(owner)
        {
            SnapshotReaderThread::ensureRegistered();
            urcu_memb_read_lock();
        }
        ~ReadSection() { urcu_memb_read_unlock(); }
        ReadSection(const ReadSection &) = delete;
        ReadSection &operator=(const ReadSection &) = delete;
        const std::shared_ptr<const T> *current() const { return rcu_dereference(owner.m_current); }
        const Snapshot &owner;
    };
#endif
    std::mutex m_writer;
    std::shared_ptr<const T> *m_current;
};

} // namespace Core
