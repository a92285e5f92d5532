#include "rattanpickd/stream/streamdaemon.h"

#include "rattanpickd/stream/directoryduty.h"
#include "rattanpickd/stream/logduty.h"
#include "rattanpickd/stream/streamcontext.h"
#include "rattanpickd/stream/streamduty.h"
#include "rattanpickd/stream/verificationduty.h"

#include "core/logging.h"
#include "operators/httpserver.h"
#include "stream/streamprocesssettingsreader.h"

#include <platform/readiness.h>
#include <platform/segmentcodec.h>
#include <platform/storesource.h>

#include <QFile>
#include <QJsonDocument>

#include <csignal>
#include <cstdio>
#include <thread>

namespace Rattanpick
{

namespace
{

constexpr int usageError = 2;
constexpr unsigned okStatus = 200;
/// Some minutes of a process's events; each takes some 300 bytes, and memory is what a small process has least of.
constexpr std::size_t keptEvents = 1000;
constexpr unsigned unavailableStatus = 503;

/// The context of the process; for the signal handler alone.
StreamContext *signalledContext = nullptr;

void onStopSignal(int /*signal*/)
{
    signalledContext->isStopping = true;
    signalledContext->packetWakeup.notifyFromSignal();
}

std::optional<StreamProcessSettings> readSettings(const QString &name, DaemonRole role)
{
    QFile file(name);
    if (!file.open(QIODevice::ReadOnly)) {
        std::fprintf(stderr, "rattanpickd: cannot read %s: %s\n", qPrintable(name), qPrintable(file.errorString()));
        return std::nullopt;
    }
    StreamProcessSettingsReader reader(name);
    const std::optional<StreamProcessSettings> settings = reader.read(file.readAll());
    for (const Finding &finding : reader.findings()) {
        std::fprintf(stderr, "%s\n", qPrintable(finding.toString()));
    }
    if (settings && settings->role != role) {
        std::fprintf(stderr, "rattanpickd: %s is for the other role\n", qPrintable(name));
        return std::nullopt;
    }
    return settings;
}

void handleStopSignals(StreamContext &context)
{
    signalledContext = &context;
    struct sigaction action = {};
    action.sa_handler = onStopSignal;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

}

int runStreamDaemon(const StreamDaemonOptions &options)
{
    const std::optional<StreamProcessSettings> settings = readSettings(options.settingsFile, options.role);
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
    logSettings.eventsKept = keptEvents;
    logSettings.budget = LogBudget();
    LogDuty logs(settings->name);
    logSettings.sink = [&logs](const Event &event) {
        logs.push(event);
    };
    std::thread logThread([&logs] { logs.run(); });
    StreamContext context(*settings, logSettings, format, source);
    StreamDuty packets(context);
    const auto fail = [&logs, &logThread](const QString &error) {
        std::fprintf(stderr, "rattanpickd: %s\n", qPrintable(error));
        logs.end();
        logThread.join();
        return 1;
    };
    if (!packets.bind()) {
        return fail(packets.lastError());
    }
    handleStopSignals(context);

    HttpServer ready(settings->ready);
    ready.handle(readinessPath, [&context](const QByteArray &) {
        if (context.isStopping) {
            ++context.refusedReadiness;
            context.packetWakeup.notify();
        }
        return context.isReady ? HttpResponse{okStatus, "text/plain; charset=utf-8", "ready\n"}
                               : HttpResponse{unavailableStatus, "text/plain; charset=utf-8", "not ready\n"};
    });
    HttpServer metrics(settings->metrics);
    metrics.handle("/metrics", [&context](const QByteArray &) {
        return HttpResponse{okStatus, "application/json", QJsonDocument(context.metrics.snapshot()).toJson()};
    });
    DirectoryDuty directory(context);
    HttpServer control(settings->control);
    for (HttpServer *server : {&metrics, &control}) {
        server->handle(directoryPath, [&directory](const QByteArray &query) {
            QByteArray batch = directory.answerPeer(query);
            return HttpResponse{batch.isEmpty() ? unavailableStatus : okStatus, "application/octet-stream", std::move(batch)};
        });
    }
    std::vector<HttpServer *> servers{&ready, &metrics};
    if (!settings->control.isNull()) {
        servers.push_back(&control);
    }
    for (HttpServer *server : servers) {
        if (!server->start()) {
            return fail(server->lastError());
        }
    }
    context.log.record(EventNumber::ProcessStarted, options.role == DaemonRole::Balancer ? QStringLiteral("balancer") : QStringLiteral("agent"));
    std::thread directoryThread([&directory] { directory.run(); });

    VerificationDuty verification(context);
    std::thread verificationThread([&verification] { verification.run(); });

    packets.run();

    context.log.record(EventNumber::ProcessStopped, QStringLiteral("finished"));
    context.isEnding = true;
    source.cancel();
    context.directoryWakeup.notify();
    context.verificationWakeup.notify();
    directoryThread.join();
    verificationThread.join();
    for (HttpServer *server : servers) {
        server->stop();
    }
    logs.end();
    logThread.join();
    // On the platform, the static destructor of log4cplus waited for its worker threads until the process was killed.
    std::quick_exit(0);
}

}
