#pragma once

#include "rattanpickd/stream/streamcontext.h"

#include "stream/directorywatcher.h"

#include <optional>

namespace Rattanpick
{

/// Reads and watches the directory source and hands its changes to the packet duty.
class DirectoryDuty
{
public:
    /// Builds the duty; the context must outlive it.
    explicit DirectoryDuty(StreamContext &context);

    /// Works until the context ends.
    void run();

private:
    void record(const SourceCall &call, const SourceAnswer &answer, Duration elapsed);
    SourceAnswer call(const SourceCall &call);
    void take(TimePoint now, SourceAnswer answer);

    StreamContext &m_context;
    DirectoryWatcher m_watcher;
    /// Nothing before the first answer.
    std::optional<bool> m_isAvailable;
};

}
