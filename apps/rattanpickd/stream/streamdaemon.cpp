#include "rattanpickd/stream/streamdaemon.h"

#include "rattanpickd/stream/directoryworker.h"
#include "rattanpickd/stream/logworker.h"
#include "rattanpickd/stream/settingsworker.h"
#include "rattanpickd/stream/streamcontext.h"
#include "rattanpickd/stream/streamworker.h"
#include "rattanpickd/stream/verificationworker.h"

#include "core/logging.h"
#include "operators/httpserver.h"
#include "stream/streamprocesssettingsreader.h"

#include <platform/readiness.h>
#include <platform/segmentcodec.h>
#include <platform/storesource.h>

#include <QDateTime>
#include <QFile>

#include <csignal>
#include <cstdio>
#include <thread>

namespace Rattanpick
{

namespace
{

constexpr int usageError = 2;
constexpr unsigned okStatus = 200;
constexpr char textType[] = "text/plain; charset=utf-8";
/// Prometheus text exposition format, whose version is part of the content type.
constexpr char metricsType[] = "text/plain; version=0.0.4; charset=utf-8";
/// Some minutes of events of a process, at about 300 bytes each; memory is the scarcest resource of a small process.
constexpr std::size_t maximumKeptEvents = 1000;
constexpr unsigned unavailableStatus = 503;

/// The context of the process; used by the signal handlers only.
StreamContext *signalledContext = nullptr;

void onStopSignal(int /*signal*/)
{
    signalledContext->isStopping = true;
    signalledContext->packetWakeup.notifyFromSignal();
}

void onReloadSignal(int /*signal*/)
{
    signalledContext->settingsWakeup.notifyFromSignal();
}

std::optional<QByteArray> readFile(const QString &name)
{
    QFile file(name);
    if (!file.open(QIODevice::ReadOnly)) {
        std::fprintf(stderr, "rattanpickd: cannot read %s: %s\n", qPrintable(name), qPrintable(file.errorString()));
        return std::nullopt;
    }
    return file.readAll();
}

std::optional<StreamProcessSettings> readSettings(const QString &name, const QByteArray &text, DaemonRole role)
{
    StreamProcessSettingsReader reader(name);
    std::optional<StreamProcessSettings> settings = reader.read(text);
    for (const Finding &finding : reader.findings()) {
        std::fprintf(stderr, "%s\n", qPrintable(finding.toString()));
    }
    if (settings && settings->role != role) {
        std::fprintf(stderr, "rattanpickd: %s is a settings file of the other role\n", qPrintable(name));
        return std::nullopt;
    }
    return settings;
}

void handleSignals(StreamContext &context)
{
    signalledContext = &context;
    struct sigaction action = {};
    action.sa_handler = onStopSignal;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    action.sa_handler = onReloadSignal;
    sigaction(SIGHUP, &action, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    // Signals that arrived during the start are delivered now.
    sigset_t handled;
    sigemptyset(&handled);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&handled, signal);
    }
    pthread_sigmask(SIG_UNBLOCK, &handled, nullptr);
}

}

int runStreamDaemon(const StreamDaemonOptions &options)
{
    const std::optional<QByteArray> text = readFile(options.settingsFile);
    const std::optional<StreamProcessSettings> settings = text ? readSettings(options.settingsFile, *text, options.role) : std::nullopt;
    if (!settings) {
        return usageError;
    }
    if (options.isCheckOnly) {
        return 0;
    }
    setUpLogging(settings->logLevel);
    const SegmentCodec format;
    StoreSource source(settings->directory);
    EventLogSettings logSettings;
    logSettings.process = settings->name;
    logSettings.eventsKept = maximumKeptEvents;
    logSettings.lamportStart = static_cast<quint64>(QDateTime::currentMSecsSinceEpoch());
    logSettings.rateLimiter = LogRateLimiter();
    LogWorker logs(settings->name);
    logSettings.sink = [&logs](const Event &event) {
        logs.push(event);
    };
    std::thread logThread([&logs] { logs.run(); });
    StreamContext context(*settings, logSettings, format, source);
    StreamWorker packets(context, options.adjustAgent);
    const auto fail = [&logs, &logThread](const QString &error) {
        std::fprintf(stderr, "rattanpickd: %s\n", qPrintable(error));
        logs.finish();
        logThread.join();
        return 1;
    };
    if (!packets.bind()) {
        return fail(packets.lastError());
    }
    handleSignals(context);

    DirectoryWorker directory(context);
    std::vector<Endpoint> listenEndpoints{settings->ready, settings->metrics, settings->boundAt(settings->spread)};
    if (!settings->control.isNull()) {
        listenEndpoints.push_back(settings->boundAt(settings->control));
    }
    HttpServer server(listenEndpoints);
    server.handle(readinessPath, [&context](const QByteArray &) {
        if (context.isStopping) {
            ++context.refusedReadinessProbes;
            context.packetWakeup.notify();
        }
        return context.isReady ? HttpResponse{okStatus, textType, "ready\n"} : HttpResponse{unavailableStatus, textType, "not ready\n"};
    });
    server.handle("/metrics", [&context](const QByteArray &) { return HttpResponse{okStatus, metricsType, context.metrics.toText()}; });
    server.handle(directoryPath, [&directory](const QByteArray &query) {
        QByteArray batch = directory.answerPeer(query);
        return HttpResponse{batch.isEmpty() ? unavailableStatus : okStatus, "application/octet-stream", std::move(batch)};
    });
    if (!server.start()) {
        return fail(server.lastError());
    }
    const QString roleName = options.role == DaemonRole::Balancer ? QStringLiteral("balancer") : QStringLiteral("agent");
    context.log.record(EventNumber::ProcessStarted, roleName + QLatin1Char(' ') + settings->balancing.toString());
    std::thread directoryThread([&directory] { directory.run(); });

    VerificationWorker verification(context);
    std::thread verificationThread([&verification] { verification.run(); });
    SettingsWorker settingsWorker(context, options.settingsFile, *text);
    std::thread settingsThread([&settingsWorker] { settingsWorker.run(); });

    packets.run();

    context.log.record(EventNumber::ProcessStopped, QStringLiteral("finished"));
    context.isTerminating = true;
    source.cancel();
    context.directoryWakeup.notify();
    context.verificationWakeup.notify();
    context.settingsWakeup.notify();
    directoryThread.join();
    verificationThread.join();
    settingsThread.join();
    server.stop();
    logs.finish();
    logThread.join();
    // Skips static destructors: on the platform, the one of log4cplus waited for its worker threads until the process
    // was killed.
    std::quick_exit(0);
}

}
