#include "rattanpickd/messages/daemon.h"

#include "rattanpickd/messages/agentworker.h"
#include "rattanpickd/messages/balancerworker.h"
#include "rattanpickd/messages/configurationworker.h"
#include "rattanpickd/messages/processstatus.h"
#include "rattanpickd/messages/receiveworker.h"
#include "rattanpickd/messages/sendworker.h"

#include "operators/adminserver.h"

#include <QRandomGenerator>

#include <csignal>
#include <cstdio>
#include <thread>

namespace Rattanpick
{

namespace
{

constexpr Duration stopPollInterval = 20ms;

Incarnation randomIncarnation()
{
    quint64 number = 0;
    while (number == 0) {
        number = QRandomGenerator::system()->generate64();
    }
    return Incarnation{number};
}

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

bool bindSockets(DaemonContext &context)
{
    const Endpoint &roleEndpoint = context.settings.role == DaemonRole::Balancer ? context.settings.fabric : context.settings.link;
    for (const auto &[socket, endpoint] : {std::pair{&context.tunnel, context.settings.tunnel}, std::pair{&context.roleSocket, roleEndpoint}}) {
        if (!socket->bind(endpoint)) {
            std::fprintf(stderr, "rattanpickd: %s\n", qPrintable(socket->lastError()));
            return false;
        }
    }
    return true;
}

std::unique_ptr<DecisionWorker> makeDecisionWorker(DaemonContext &context)
{
    if (context.settings.role == DaemonRole::Balancer) {
        return std::make_unique<BalancerWorker>(context);
    }
    return std::make_unique<AgentWorker>(context);
}

QString roleName(DaemonRole role)
{
    return role == DaemonRole::Balancer ? QStringLiteral("balancer") : QStringLiteral("agent");
}

/// The handlers of the admin interface; the objects that they refer to must outlive the admin server.
AdminHandlers adminHandlers(const DaemonContext &context, const DecisionWorker &decisions, const ConfigurationWorker &configuration)
{
    AdminHandlers handlers;
    handlers.status = [&context, &decisions, &configuration] {
        const QJsonObject decided = decisions.status();
        QJsonObject status = processStatus(decided, context.metrics.snapshot());
        status.insert(QStringLiteral("name"), context.settings.name);
        status.insert(QStringLiteral("role"), roleName(context.settings.role));
        status.insert(QStringLiteral("dataCentre"), context.settings.dataCentre);
        status.insert(QStringLiteral("incarnation"), QString::number(static_cast<quint64>(context.incarnation), 16));
        status.insert(QStringLiteral("lamport"), QString::number(context.log.lamport()));
        status.insert(QStringLiteral("configuration"), configuration.status());
        status.insert(QStringLiteral("decisions"), decided);
        return status;
    };
    handlers.events = [&context](quint64 sinceLamport) {
        return AdminEvents{context.log.eventsSince(sinceLamport), context.log.overwritten()};
    };
    handlers.metrics = [&context] {
        return context.metrics.snapshot();
    };
    handlers.documentDelta = [&configuration](const ConfigurationVersion &from) {
        return configuration.documentDelta(from);
    };
    return handlers;
}

}

int runDaemon(const DaemonSettings &settings, const QByteArray &startDocument)
{
    // Blocked before any thread starts, so that only sigwait() in this thread receives them.
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    EventLogSettings logSettings;
    logSettings.process = settings.name;
    logSettings.eventsKept = settings.eventsKept;
    DaemonContext context(settings, logSettings);
    context.incarnation = randomIncarnation();
    if (!bindSockets(context)) {
        return 1;
    }

    ConfigurationWorker configuration(context, startDocument);
    const std::unique_ptr<DecisionWorker> decisions = makeDecisionWorker(context);
    ReceiveWorker receive(context);
    SendWorker send(context);
    AdminServer admin(settings.admin, adminHandlers(context, *decisions, configuration));
    if (!admin.start()) {
        std::fprintf(stderr, "rattanpickd: %s\n", qPrintable(admin.lastError()));
        return 1;
    }
    context.log.record(EventNumber::ProcessStarted, roleName(settings.role));

    std::thread sendThread([&send] { send.run(); });
    std::thread decisionThread([&decisions] { decisions->run(); });
    std::thread configurationThread([&configuration] { configuration.run(); });
    std::thread receiveThread([&receive] { receive.run(); });

    int signal = 0;
    sigwait(&signals, &signal);
    context.log.record(EventNumber::ProcessStopping, signal == SIGTERM ? QStringLiteral("SIGTERM") : QStringLiteral("SIGINT"));
    context.isStopping = true;
    context.decisionWakeup.notify();
    const TimePoint limit = Clock::now() + std::chrono::seconds(settings.stopLimitSeconds);
    while (!decisions->isStopped() && Clock::now() < limit) {
        std::this_thread::sleep_for(stopPollInterval);
    }
    context.log.record(EventNumber::ProcessStopped, decisions->isStopped() ? QStringLiteral("finished") : QStringLiteral("stop limit reached"));

    admin.stop();
    context.isTerminating = true;
    receiveThread.join();
    decisionThread.join();
    configurationThread.join();
    context.sendWakeup.notify();
    sendThread.join();
    return 0;
}

}
