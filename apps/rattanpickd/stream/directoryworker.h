#pragma once

#include "rattanpickd/stream/streamcontext.h"

#include "configservice/httpclient.h"
#include "stream/directorywatcher.h"

#include <mutex>
#include <optional>

namespace Rattanpick
{

/// Path at which processes serve their directory to each other; "after=REVISION" may follow as query.
inline constexpr char directoryPath[] = "/directory";

/// Reads and watches the directory source, asks peers, and hands the changes to the packet duty.
class DirectoryWorker
{
public:
    /// Builds the duty; the context must outlive it.
    explicit DirectoryWorker(StreamContext &context);

    /// Works until the context ends.
    void run();

    /// What the directory knows after the revision that the query names, for a peer; any thread may ask.
    QByteArray answerPeer(const QByteArray &query) const;

private:
    void take(TimePoint now, const SourceCall &call, SourceAnswer answer);
    void pull(const SourceCall &call);
    SourceAnswer callSource(const SourceCall &call);
    void record(const SourceCall &call, const SourceAnswer &answer, Duration elapsed);
    void push(DirectoryBatch batch);

    StreamContext &m_context;
    DirectoryWatcher m_watcher;
    HttpClient m_peers;
    /// Nothing before the first answer of the source.
    std::optional<bool> m_isAvailable;
    mutable std::mutex m_imageMutex;
    DirectoryImage m_image;
};

}
