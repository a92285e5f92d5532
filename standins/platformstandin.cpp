#include "standins/platformstandin.h"

#include <configservice/documentmanifest.h>

#include <QDateTime>
#include <QDir>
#include <QFile>
#include <QJsonDocument>
#include <QJsonObject>

#include <microhttpd.h>

#include <algorithm>
#include <arpa/inet.h>
#include <condition_variable>
#include <deque>
#include <iterator>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <optional>
#include <set>
#include <thread>

namespace Rattanpick
{

namespace
{

const QString instancesPath = QStringLiteral("/instances");
const QString valuePathPrefix = QStringLiteral("/value/");
const QString statisticsPath = QStringLiteral("/statistics");

/// A value with the revision of its latest change.
struct Value
{
    QByteArray text;
    quint64 revision = 0;
};

/// Values by their URL path.
using Values = std::map<QString, Value>;

/// One HTTP call.
struct Call
{
    QString path;
    quint64 afterRevision = 0;
    QString caller;
    QString address;
};

/// The answer to a call.
struct Answer
{
    unsigned int status = MHD_HTTP_NOT_FOUND;
    quint64 revision = 0;
    QByteArray body;
};

std::optional<QByteArray> readFile(const QString &path)
{
    QFile file(path);
    return file.open(QIODevice::ReadOnly) ? std::optional(file.readAll()) : std::nullopt;
}

bool isYes(const QString &value)
{
    return value == QLatin1String("yes");
}

QString callerOf(MHD_Connection *connection)
{
    if (const char *name = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "X-Caller")) {
        return QString::fromUtf8(name);
    }
    return {};
}

QString addressOf(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (info == nullptr || info->client_addr->sa_family != AF_INET) {
        return {};
    }
    const auto *address = reinterpret_cast<const sockaddr_in *>(info->client_addr);
    const QString text = Endpoint{ntohl(address->sin_addr.s_addr), 1}.toString();
    return text.left(text.indexOf(QLatin1Char(':')));
}

}

PlatformStandInControl PlatformStandInControl::fromText(const QString &text)
{
    PlatformStandInControl control;
    const QStringList lines = text.split(QLatin1Char('\n'));
    for (const QString &line : lines) {
        const QString key = line.section(QLatin1Char('='), 0, 0).trimmed();
        const QString value = line.section(QLatin1Char('='), 1).trimmed();
        if (key == QLatin1String("answers")) {
            control.answers = isYes(value);
        } else if (key == QLatin1String("stale")) {
            control.isStale = isYes(value);
        } else if (key == QLatin1String("delay-ms")) {
            control.delayMilliseconds = value.toInt();
        } else if (key == QLatin1String("cut-off")) {
            const QStringList names = value.split(QLatin1Char(','), Qt::SkipEmptyParts);
            for (const QString &name : names) {
                control.cutOff.append(name.trimmed());
            }
        }
    }
    return control;
}

class PlatformStandIn::Private
{
public:
    explicit Private(const PlatformStandInSettings &newSettings)
        : settings(newSettings)
        // Revisions must not decrease when the stand-in is restarted, as those of a real service do not.
        , revision(static_cast<quint64>(QDateTime::currentMSecsSinceEpoch()))
    {
    }

    // Files
    void poll();
    void updateValue(const QString &path, const QString &file, Values &next);
    void applyControl(const PlatformStandInControl &newControl);

    // Calls
    MHD_Result handleCall(MHD_Connection *connection, const QString &path);
    bool admitCall();
    bool isSilent(const Call &call) const;
    bool waitForAnswerTime(std::unique_lock<std::mutex> &lock, const Call &call);
    std::optional<Answer> waitForChange(std::unique_lock<std::mutex> &lock, const Call &call);
    Answer statisticsAnswer() const;
    static MHD_Result send(MHD_Connection *connection, const Answer &answer);

    static MHD_Result
    onRequest(void *self, MHD_Connection *connection, const char *url, const char *method, const char *, const char *, std::size_t *, void **);

    const PlatformStandInSettings settings;
    MHD_Daemon *daemon = nullptr;
    std::thread poller;
    QString lastError;
    Endpoint endpoint;

    mutable std::mutex mutex;
    std::condition_variable changed;
    bool isStopping = false;
    quint64 revision;
    Values values;
    Values staleValues;
    PlatformStandInControl control;
    QString controlText;
    std::deque<TimePoint> recentCalls;
    /// Start times of the watches that wait.
    std::multiset<TimePoint> watchStarts;
    PlatformStandInStatistics statistics;
};

// Files

void PlatformStandIn::Private::poll()
{
    const QDir directory(settings.directory);
    // Read under the lock: a thread that reads first and applies last would restore an earlier text.
    const std::lock_guard lock(mutex);
    const QString text = QString::fromUtf8(readFile(directory.filePath(QStringLiteral("control"))).value_or(QByteArray()));
    if (text != controlText) {
        controlText = text;
        applyControl(PlatformStandInControl::fromText(text));
    }
    Values next;
    updateValue(instancesPath, directory.filePath(QStringLiteral("instances.json")), next);
    const QDir valueDirectory(directory.filePath(QStringLiteral("values")));
    const QStringList names = valueDirectory.entryList(QDir::Files);
    for (const QString &name : names) {
        updateValue(valuePathPrefix + name, valueDirectory.filePath(name), next);
    }
    values = std::move(next);
    changed.notify_all();
}

void PlatformStandIn::Private::updateValue(const QString &path, const QString &file, Values &next)
{
    const std::optional<QByteArray> text = readFile(file);
    const auto current = values.find(path);
    // The size limit applies to values only: the instance list of a fleet of the design size exceeds it.
    const bool isTooLarge = text && path != instancesPath && text->size() > maximumValueBytes;
    if (!text || isTooLarge) {
        if (isTooLarge && current != values.end()) {
            next.insert(*current);
        }
        return;
    }
    if (current != values.end() && current->second.text == *text) {
        next.insert(*current);
        return;
    }
    next.emplace(path, Value{*text, ++revision});
}

void PlatformStandIn::Private::applyControl(const PlatformStandInControl &newControl)
{
    if (newControl.isStale && !control.isStale) {
        staleValues = values;
    }
    control = newControl;
    changed.notify_all();
}

// Calls

MHD_Result PlatformStandIn::Private::onRequest(void *self,
                                               MHD_Connection *connection,
                                               const char *url,
                                               const char *method,
                                               const char *,
                                               const char *,
                                               std::size_t *,
                                               void **)
{
    if (qstrcmp(method, MHD_HTTP_METHOD_GET) != 0) {
        return send(connection, {MHD_HTTP_METHOD_NOT_ALLOWED, 0, {}});
    }
    return static_cast<Private *>(self)->handleCall(connection, QString::fromUtf8(url));
}

MHD_Result PlatformStandIn::Private::handleCall(MHD_Connection *connection, const QString &path)
{
    if (path == statisticsPath) {
        return send(connection, statisticsAnswer());
    }
    const char *after = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "after");
    const quint64 afterRevision = after != nullptr ? QByteArray(after).toULongLong() : 0;
    const Call call{path, afterRevision, callerOf(connection), addressOf(connection)};
    std::optional<Answer> answer = Answer{MHD_HTTP_TOO_MANY_REQUESTS, 0, {}};
    {
        std::unique_lock lock(mutex);
        if (admitCall()) {
            answer = waitForAnswerTime(lock, call) ? waitForChange(lock, call) : std::nullopt;
        }
    }
    // MHD_NO closes the connection without an answer.
    return answer ? send(connection, *answer) : MHD_NO;
}

bool PlatformStandIn::Private::admitCall()
{
    const TimePoint now = Clock::now();
    while (!recentCalls.empty() && recentCalls.front() <= now - 1s) {
        recentCalls.pop_front();
    }
    ++statistics.calls;
    // A watch that started within the last second is in recentCalls already.
    const auto earlierWatches = std::distance(watchStarts.begin(), watchStarts.upper_bound(now - 1s));
    const quint64 calls = recentCalls.size() + 1 + static_cast<quint64>(earlierWatches);
    statistics.peakCalls = std::max(statistics.peakCalls, calls);
    if (calls > static_cast<quint64>(settings.callsPerSecond)) {
        ++statistics.refusedCalls;
        return false;
    }
    recentCalls.push_back(now);
    return true;
}

bool PlatformStandIn::Private::isSilent(const Call &call) const
{
    return !control.answers || control.cutOff.contains(call.caller) || control.cutOff.contains(call.address);
}

bool PlatformStandIn::Private::waitForAnswerTime(std::unique_lock<std::mutex> &lock, const Call &call)
{
    changed.wait(lock, [&] { return isStopping || !isSilent(call); });
    const TimePoint deadline = Clock::now() + std::chrono::milliseconds(control.delayMilliseconds);
    changed.wait_until(lock, deadline, [this] { return isStopping; });
    return !isStopping;
}

std::optional<Answer> PlatformStandIn::Private::waitForChange(std::unique_lock<std::mutex> &lock, const Call &call)
{
    const TimePoint start = Clock::now();
    const auto watch = watchStarts.insert(start);
    Answer answer;
    const auto isAnswered = [&] {
        const Values &served = control.isStale ? staleValues : values;
        const auto found = served.find(call.path);
        answer = found != served.end() ? Answer{MHD_HTTP_OK, found->second.revision, found->second.text} : Answer{};
        return isStopping || (answer.revision != call.afterRevision && !isSilent(call)) || found == served.end();
    };
    if (!changed.wait_until(lock, start + settings.watchTime, isAnswered)) {
        answer = {MHD_HTTP_NOT_MODIFIED, call.afterRevision, {}};
    }
    watchStarts.erase(watch);
    return isSilent(call) ? std::nullopt : std::optional(answer);
}

Answer PlatformStandIn::Private::statisticsAnswer() const
{
    const std::lock_guard lock(mutex);
    const QJsonObject object{
        {QStringLiteral("calls"), static_cast<qint64>(statistics.calls)},
        {QStringLiteral("refusedCalls"), static_cast<qint64>(statistics.refusedCalls)},
        {QStringLiteral("peakCalls"), static_cast<qint64>(statistics.peakCalls)},
    };
    return {MHD_HTTP_OK, 0, QJsonDocument(object).toJson(QJsonDocument::Compact)};
}

MHD_Result PlatformStandIn::Private::send(MHD_Connection *connection, const Answer &answer)
{
    MHD_Response *response =
        MHD_create_response_from_buffer(static_cast<std::size_t>(answer.body.size()), const_cast<char *>(answer.body.constData()), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "X-Revision", QByteArray::number(answer.revision).constData());
    const MHD_Result result = MHD_queue_response(connection, answer.status, response);
    MHD_destroy_response(response);
    return result;
}

// PlatformStandIn

PlatformStandIn::PlatformStandIn(const PlatformStandInSettings &settings)
    : m_d(std::make_unique<Private>(settings))
{
}

PlatformStandIn::~PlatformStandIn()
{
    {
        const std::lock_guard lock(m_d->mutex);
        m_d->isStopping = true;
    }
    m_d->changed.notify_all();
    if (m_d->poller.joinable()) {
        m_d->poller.join();
    }
    if (m_d->daemon != nullptr) {
        MHD_stop_daemon(m_d->daemon);
    }
}

bool PlatformStandIn::start()
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(m_d->settings.listen.address);
    address.sin_port = htons(m_d->settings.listen.port);
    m_d->poll();
    // With a thread per connection a watch can wait on a condition variable; there are only a few dozen callers.
    m_d->daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_ITC,
                                   m_d->settings.listen.port,
                                   nullptr,
                                   nullptr,
                                   &Private::onRequest,
                                   m_d.get(),
                                   MHD_OPTION_SOCK_ADDR,
                                   &address,
                                   MHD_OPTION_END);
    if (m_d->daemon == nullptr) {
        m_d->lastError = QStringLiteral("cannot listen on %1").arg(m_d->settings.listen.toString());
        return false;
    }
    const MHD_DaemonInfo *info = MHD_get_daemon_info(m_d->daemon, MHD_DAEMON_INFO_BIND_PORT);
    m_d->endpoint = {m_d->settings.listen.address, info->port};
    m_d->poller = std::thread([this] {
        std::unique_lock lock(m_d->mutex);
        while (!m_d->isStopping) {
            lock.unlock();
            m_d->poll();
            lock.lock();
            m_d->changed.wait_for(lock, m_d->settings.pollInterval, [this] { return m_d->isStopping; });
        }
    });
    return true;
}

Endpoint PlatformStandIn::endpoint() const
{
    return m_d->endpoint;
}

void PlatformStandIn::poll()
{
    m_d->poll();
}

void PlatformStandIn::setControl(const PlatformStandInControl &control)
{
    const std::lock_guard lock(m_d->mutex);
    m_d->applyControl(control);
}

PlatformStandInStatistics PlatformStandIn::statistics() const
{
    const std::lock_guard lock(m_d->mutex);
    return m_d->statistics;
}

const QString &PlatformStandIn::lastError() const
{
    return m_d->lastError;
}

}
