#include <agent/targetagent.h>
#include <caller/callermessagecodec.h>
#include <fabric/peermessagecodec.h>
#include <operators/documentreader.h>
#include <spread/documentdelta.h>

#include <CLI/CLI.hpp>

#include <malloc.h>

#include <cstdio>
#include <ctime>
#include <vector>

using namespace Rattanpick;

namespace
{

constexpr quint64 flowNonce = 7;
constexpr int targetsPerService = 10;

void print(const char *measure, qsizetype size, double value, const char *unit)
{
    std::printf("%s,%lld,%.4f,%s\n", measure, static_cast<long long>(size), value, unit);
    std::fflush(stdout);
}

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

// Document

QByteArray documentOf(int targetCount, int version, int drainedTarget)
{
    QByteArray text = "[document]\nversion = " + QByteArray::number(version) + "\n\n[team yard]\n\n[data-centre fremantle]\nowner = yard\nregion = wa-south\n";
    const int serviceCount = std::max(1, targetCount / targetsPerService);
    for (int service = 0; service < serviceCount; ++service) {
        text += "\n[service s" + QByteArray::number(service) + "]\nowner = yard\naddress = 127.1." + QByteArray::number(service / 250) + '.'
                + QByteArray::number(1 + service % 250) + ":7000\n";
    }
    for (int target = 0; target < targetCount; ++target) {
        text += "\n[target t" + QByteArray::number(target) + "]\nowner = yard\nservice = s" + QByteArray::number(target % serviceCount)
                + "\ndata-centre = fremantle\nagent = 127.2." + QByteArray::number(target / 250) + '.' + QByteArray::number(1 + target % 250)
                + ":9000\nslots = 5\n" + (target == drainedTarget ? "state = draining\n" : "state = in\n");
    }
    return text;
}

void measureDocument(int targetCount)
{
    const QByteArray text = documentOf(targetCount, 1, -1);
    print("document bytes", targetCount, static_cast<double>(text.size()), "bytes");

    DocumentReader reader(QStringLiteral("document"));
    const double heapBefore = heapBytes();
    const double begin = processorSeconds();
    const ConfigurationPointer configuration = reader.read(text);
    print("document read and checked", targetCount, (processorSeconds() - begin) * 1000, "ms");
    if (!configuration) {
        std::fprintf(stderr, "document refused: %s\n", qPrintable(reader.findings().value(0).toString()));
        std::exit(1);
    }
    print("configuration in memory", targetCount, heapBytes() - heapBefore, "bytes");

    const QByteArray changed = documentOf(targetCount, 2, targetCount / 2);
    const double deltaBegin = processorSeconds();
    const QByteArray delta = DocumentDelta::between(DocumentOutline(text), changed).toBytes();
    print("delta of one target made", targetCount, (processorSeconds() - deltaBegin) * 1000, "ms");
    print("delta of one target", targetCount, static_cast<double>(delta.size()), "bytes");
    print("whole document compressed", targetCount, static_cast<double>(compressBytes(text).size()), "bytes");
}

// Flows of an agent

Target targetAt(int index)
{
    Target target;
    target.name = QStringLiteral("t%1").arg(index);
    target.id = targetIdOf(target.name.toUtf8());
    target.owner = QStringLiteral("yard");
    target.service = serviceIdOf("desk");
    target.dataCentre = QStringLiteral("fremantle");
    target.agent = {0x7f020001U + static_cast<quint32>(index), 9000};
    target.slots = 5;
    target.connections = 1000000;
    return target;
}

ConfigurationPointer configurationOf(quint64 number, int drainedTarget)
{
    Service service;
    service.name = QStringLiteral("desk");
    service.id = serviceIdOf("desk");
    service.owner = QStringLiteral("yard");
    service.address = {0x7f010001U, 7000};
    std::vector<Target> targets;
    for (int index = 0; index < targetsPerService; ++index) {
        targets.push_back(targetAt(index));
        targets.back().isDraining = index == drainedTarget;
    }
    return std::make_shared<const Configuration>(
        ConfigurationVersion{number, number},
        std::vector{DataCentre{QStringLiteral("fremantle"), QStringLiteral("yard"), QStringLiteral("wa-south"), false}},
        std::vector{service},
        targets);
}

FlowKey flowAt(int index)
{
    return {{0x0a000000U + static_cast<quint32>(index / 60000), static_cast<quint16>(1000 + index % 60000)}, {0x7f010001U, 7000}, 17};
}

/// Runs one agent whose simulated peers acknowledge every Register at once, and counts the control messages it sends.
class AgentHarness
{
public:
    AgentHarness()
        : m_agent(settings(), m_now)
    {
        m_agent.applyConfiguration(m_now, configurationOf(1, -1), m_actions);
        m_agent.onTargetReply(m_now, TargetReply{Incarnation{5}, TargetStatus{}}, m_actions);
        advance(2s);
    }

    void send(const PeerBody &body, int fromIndex)
    {
        PeerMessage message;
        message.header.version = m_version;
        message.header.service = serviceIdOf("desk");
        message.header.destination = settings().target;
        if (fromIndex >= 0) {
            message.header.sender = targetAt(fromIndex).id;
            message.header.senderEndpoint = targetAt(fromIndex).agent;
            message.header.senderIncarnation = Incarnation{100U + static_cast<quint64>(fromIndex)};
        }
        message.body = body;
        m_agent.onPeerMessage(m_now, message, m_actions);
        processActions();
    }

    void apply(quint64 number, int drainedTarget)
    {
        m_version = {number, number};
        m_agent.applyConfiguration(m_now, configurationOf(number, drainedTarget), m_actions);
        processActions();
    }

    void advance(Duration span)
    {
        for (Duration passed{}; passed < span; passed += 10ms) {
            m_now += 10ms;
            if (passed % 500ms == Duration{}) {
                m_agent.onTargetReply(m_now, TargetReply{Incarnation{5}, TargetStatus{}}, m_actions);
            }
            m_agent.onTick(m_now, m_actions);
            processActions();
        }
    }

    TargetAgentStatus status() const
    {
        return m_agent.status(m_now);
    }

    double controlBytes = 0;
    double controlMessages = 0;

private:
    static TargetAgentSettings settings()
    {
        TargetAgentSettings settings;
        settings.targetName = QStringLiteral("t0");
        settings.target = targetAt(0).id;
        settings.service = serviceIdOf("desk");
        settings.dataCentre = QStringLiteral("fremantle");
        settings.endpoint = targetAt(0).agent;
        settings.incarnation = Incarnation{1};
        settings.unusedFlowTimeout = 3600s;
        settings.idleFlowTimeout = 3600s;
        return settings;
    }

    void processActions()
    {
        AgentActions actions;
        actions.swap(m_actions);
        for (const AgentAction &action : actions) {
            if (const auto *peer = std::get_if<SendToPeer>(&action)) {
                onSent(*peer);
            } else if (const auto *target = std::get_if<SendToTarget>(&action)) {
                confirm(target->command);
            }
        }
    }

    void onSent(const SendToPeer &sent)
    {
        controlBytes += static_cast<double>(m_codec.encode(sent.message).size());
        controlMessages += 1;
        if (const auto *registration = std::get_if<Register>(&sent.message.body)) {
            for (int index = 1; index < targetsPerService; ++index) {
                if (targetAt(index).id == sent.message.header.destination) {
                    send(Registered{registration->batch}, index);
                }
            }
        }
    }

    void confirm(const TargetCommand &command)
    {
        if (const auto *open = std::get_if<TargetOpen>(&command)) {
            m_agent.onTargetReply(m_now, TargetReply{Incarnation{5}, TargetFlowState{open->flow, open->nonce, true}}, m_actions);
        }
    }

    TimePoint m_now{1h};
    ConfigurationVersion m_version{1, 1};
    AgentActions m_actions;
    PeerMessageCodec m_codec{PeerMessageCodec::Key{}};
    TargetAgent m_agent;
};

void measureFlows(int flowCount)
{
    AgentHarness agent;
    const double heapBefore = heapBytes();
    const double begin = processorSeconds();
    for (int index = 0; index < flowCount; ++index) {
        agent.send(Offer{flowAt(index), flowNonce}, 1 + index % (targetsPerService - 1));
        agent.send(Forward{HopList{}, flowAt(index), encodeCallerMessage(KeepAlive{flowNonce})}, -1);
    }
    print("opening and first packet of a flow", flowCount, (processorSeconds() - begin) * 1e6 / flowCount, "us");
    agent.advance(60s);
    if (agent.status().ownedFlows != static_cast<std::size_t>(flowCount) || agent.status().unconfirmedEntries != 0) {
        std::fprintf(stderr, "flows missing or not registered\n");
        std::exit(1);
    }
    print("owned flow in memory", flowCount, (heapBytes() - heapBefore) / flowCount, "bytes");

    agent.controlBytes = 0;
    agent.controlMessages = 0;
    const double idleBegin = processorSeconds();
    agent.advance(20s);
    print("control processor time of a calm agent", flowCount, (processorSeconds() - idleBegin) * 100 / 20, "percent of a core");
    print("control bytes sent by a calm agent", flowCount, agent.controlBytes / 20, "bytes/s");

    agent.controlBytes = 0;
    agent.controlMessages = 0;
    const double changeBegin = processorSeconds();
    agent.apply(2, 1);
    agent.advance(10s);
    print("hand-over processor time after one target drains", flowCount, (processorSeconds() - changeBegin) * 1000, "ms");
    print("hand-over bytes after one target drains", flowCount, agent.controlBytes, "bytes");
}

}

int main(int argc, char **argv)
{
    CLI::App app{"Measures documents and the flows of an agent over a range of sizes; prints CSV"};
    std::vector<int> targets{10, 100, 1000, 10000, 19000};
    std::vector<int> flows{38, 384, 3842, 38420};
    app.add_option("--targets", targets, "Targets in the document");
    app.add_option("--flows", flows, "Flows of the agent");
    CLI11_PARSE(app, argc, argv);
    std::printf("measure,size,value,unit\n");
    for (const int count : targets) {
        measureDocument(count);
    }
    for (const int count : flows) {
        measureFlows(count);
    }
    return 0;
}
