#pragma once

#include "rattanpickd/stream/eralog.h"
#include "rattanpickd/stream/streamcontext.h"

#include "configservice/httpclient.h"
#include "stream/directorywatcher.h"

#include <mutex>
#include <optional>

namespace Rattanpick
{

/// Path at which processes serve their directory to each other; the query "era=ERA&after=REVISION" is optional.
inline constexpr char directoryPath[] = "/directory";

/// Reads and watches the directory source, pulls from peers, and passes the changes to the stream worker.
class DirectoryWorker
{
public:
    /// @p context must outlive the worker.
    explicit DirectoryWorker(StreamContext &context);

    /// Works until the context ends.
    void run();

    /// Encoded changes after the position that @p query names, for a peer; empty before the first read. Thread-safe.
    QByteArray answerPeer(const QByteArray &query) const;

private:
    void processAnswer(TimePoint now, const SourceCall &call, SourceAnswer answer);
    void pull(const SourceCall &call);
    SourceAnswer callSource(const SourceCall &call);
    void record(const SourceCall &call, const SourceAnswer &answer, Duration elapsed);
    void publish(DirectoryBatch batch);

    StreamContext &m_context;
    DirectoryWatcher m_watcher;
    HttpClient m_peers;
    EraLog m_eraLog;
    /// Whether the source answered its latest call; nothing before the first answer.
    std::optional<bool> m_isAvailable;
    mutable std::mutex m_imageMutex;
    DirectoryImage m_image;
};

}
