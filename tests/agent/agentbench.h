#pragma once

#include <agent/targetagent.h>
#include <balancer/servicetables.h>
#include <caller/callermessagecodec.h>
#include <operators/configuration.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace Rattanpick
{

/// Several agents of one service with simulated targets, connected by a queue without delay.
class AgentBench
{
public:
    using FlowId = std::pair<FlowKey, quint64>;

    /// Builds @p count agents with targets t0, t1, ... and puts configuration version 1 in force at all of them.
    explicit AgentBench(int count)
    {
        for (int index = 0; index < count; ++index) {
            m_targets.push_back(target(index));
        }
        const ConfigurationPointer first = configuration(1);
        for (int index = 0; index < count; ++index) {
            start(index);
            apply(index, first);
        }
        // Time for heartbeats, which report the versions, and for digests, which end the recovery.
        advance(2s);
    }

    static Target target(int index)
    {
        Target value;
        value.name = QStringLiteral("t%1").arg(index);
        value.id = targetIdOf(value.name.toUtf8());
        value.owner = QStringLiteral("team");
        value.service = service().id;
        value.dataCentre = QStringLiteral("dc%1").arg(index % 3);
        value.agent = {0x7f000100U + static_cast<quint32>(index), 9000};
        value.slots = 4;
        return value;
    }

    static Service service()
    {
        Service value;
        value.name = QStringLiteral("desk");
        value.id = serviceIdOf("desk");
        value.owner = QStringLiteral("team");
        value.address = {0x7f010001U, 7000};
        return value;
    }

    static FlowKey flow(quint16 port)
    {
        return {{0x7f000001U, port}, service().address, 17};
    }

    /// A configuration of the current targets; the data centre @p out, if any, is taken out.
    ConfigurationPointer configuration(quint64 number, const QString &out = {}) const
    {
        std::vector<DataCentre> dataCentres;
        for (int index = 0; index < 3; ++index) {
            const QString name = QStringLiteral("dc%1").arg(index);
            dataCentres.push_back({name, QStringLiteral("team"), QStringLiteral("region"), name == out});
        }
        return std::make_shared<const Configuration>(ConfigurationVersion{number, number * 17}, dataCentres, std::vector{service()}, m_targets);
    }

    /// The targets of later calls of configuration(); tests change them.
    std::vector<Target> &targets()
    {
        return m_targets;
    }

    /// Starts the agent of a target, replacing an earlier process.
    void start(int index)
    {
        TargetAgentSettings settings;
        const Target described = target(index);
        settings.targetName = described.name;
        settings.target = described.id;
        settings.service = described.service;
        settings.dataCentre = described.dataCentre;
        settings.endpoint = described.agent;
        settings.incarnation = Incarnation{++m_lastIncarnation};
        m_agents[index] = std::make_unique<TargetAgent>(settings, m_now);
        m_targetIncarnations.try_emplace(index, Incarnation{1000U + static_cast<quint64>(index)});
    }

    void kill(int index)
    {
        m_agents.erase(index);
    }

    /// Replaces the target process, which loses its flows.
    void replaceTarget(int index)
    {
        m_targetFlows[index].clear();
        m_targetIncarnations[index] = Incarnation{5000U + ++m_lastIncarnation};
    }

    TargetAgent &agent(int index)
    {
        return *m_agents.at(index);
    }

    TimePoint now() const
    {
        return m_now;
    }

    void apply(int index, const ConfigurationPointer &configuration)
    {
        AgentActions actions;
        agent(index).applyConfiguration(m_now, configuration, actions);
        enqueue(index, std::move(actions));
        pump();
    }

    void applyAll(const ConfigurationPointer &configuration)
    {
        for (const auto &[index, agent] : m_agents) {
            AgentActions actions;
            agent->applyConfiguration(m_now, configuration, actions);
            enqueue(index, std::move(actions));
        }
        pump();
    }

    /// Sends a caller's message through a balancer that has the given configuration.
    void send(const ConfigurationPointer &configuration, const FlowKey &key, const CallerMessage &message)
    {
        ServiceTables tables;
        tables.applyConfiguration(configuration);
        const HopList hops = tables.hopsOf(service().id, key);
        PeerMessage forward;
        forward.header.version = configuration->version();
        forward.header.service = service().id;
        forward.header.senderEndpoint = {0x7f0000feU, 1};
        forward.header.senderIncarnation = Incarnation{77};
        forward.body = Forward{hops, key, encodeCallerMessage(message)};
        for (std::size_t index = 0; index < hops.size(); ++index) {
            if (suspectedByBalancers.contains(hops.at(index).target)) {
                continue;
            }
            forward.header.destination = hops.at(index).target;
            m_queue.push_back({hops.at(index).endpoint, forward});
            break;
        }
        pump();
    }

    /// Delivers a message to an agent as if it came from the network.
    void inject(int index, const PeerMessage &message)
    {
        m_queue.push_back({target(index).agent, message});
        pump();
    }

    /// Advances the time in steps of 10 ms.
    void advance(Duration span)
    {
        for (Duration passed{}; passed < span; passed += 10ms) {
            m_now += 10ms;
            for (const auto &[index, agent] : m_agents) {
                AgentActions actions;
                agent->onTick(m_now, actions);
                enqueue(index, std::move(actions));
                if ((m_now.time_since_epoch() / 10ms) % 50 == 0) {
                    reply(index, TargetStatus{});
                }
            }
            pump();
        }
    }

    void reply(int index, const TargetReplyBody &body)
    {
        AgentActions actions;
        agent(index).onTargetReply(m_now, TargetReply{m_targetIncarnations.at(index), body}, actions);
        enqueue(index, std::move(actions));
    }

    /// Indices of the targets that have the flow open.
    std::vector<int> holders(const FlowKey &key, quint64 nonce) const
    {
        std::vector<int> result;
        for (const auto &[index, flows] : m_targetFlows) {
            if (flows.contains({key, nonce})) {
                result.push_back(index);
            }
        }
        return result;
    }

    /// All messages of one kind that were sent to the caller of the flow.
    template <typename Message>
    std::vector<Message> received(const FlowKey &key) const
    {
        std::vector<Message> result;
        for (const SendToCaller &sent : toCallers) {
            if (const auto *message = std::get_if<Message>(&sent.message); message && sent.flow == key) {
                result.push_back(*message);
            }
        }
        return result;
    }

    std::size_t dropsOf(DropReason reason) const
    {
        return static_cast<std::size_t>(std::count(drops.begin(), drops.end(), reason));
    }

    /// All messages sent to callers.
    std::vector<SendToCaller> toCallers;
    /// All commands sent to targets, with the index of the target.
    std::vector<std::pair<int, TargetCommand>> toTargets;
    std::vector<DropReason> drops;
    std::vector<RecordEvent> events;
    /// Targets that the balancer of send() skips.
    std::set<TargetId> suspectedByBalancers;
    /// Filter of messages between agents; those for which it returns false are lost.
    std::function<bool(const SendToPeer &)> passes = [](const SendToPeer &) {
        return true;
    };

private:
    struct Queued
    {
        Endpoint to;
        PeerMessage message;
    };

    void enqueue(int index, AgentActions actions)
    {
        for (AgentAction &action : actions) {
            if (const auto *peer = std::get_if<SendToPeer>(&action)) {
                if (passes(*peer)) {
                    m_queue.push_back({peer->to, peer->message});
                }
            } else if (const auto *caller = std::get_if<SendToCaller>(&action)) {
                toCallers.push_back(*caller);
            } else if (const auto *target = std::get_if<SendToTarget>(&action)) {
                toTargets.emplace_back(index, target->command);
                onCommand(index, target->command);
            } else if (const auto *drop = std::get_if<CountDrop>(&action)) {
                drops.push_back(drop->reason);
            } else if (const auto *event = std::get_if<RecordEvent>(&action)) {
                events.push_back(*event);
            }
        }
    }

    void onCommand(int index, const TargetCommand &command)
    {
        if (const auto *open = std::get_if<TargetOpen>(&command)) {
            m_targetFlows[index].insert({open->flow, open->nonce});
            m_replies.push_back({index, TargetFlowState{open->flow, open->nonce, true}});
        } else if (const auto *close = std::get_if<TargetClose>(&command)) {
            m_targetFlows[index].erase({close->flow, close->nonce});
        } else if (const auto *probe = std::get_if<TargetProbe>(&command)) {
            m_replies.push_back({index, TargetFlowState{probe->flow, probe->nonce, m_targetFlows[index].contains({probe->flow, probe->nonce})}});
        }
    }

    void pump()
    {
        while (!m_queue.empty() || !m_replies.empty()) {
            if (!m_replies.empty()) {
                const auto [index, body] = m_replies.front();
                m_replies.pop_front();
                if (m_agents.contains(index)) {
                    reply(index, body);
                }
                continue;
            }
            const Queued next = m_queue.front();
            m_queue.pop_front();
            for (const auto &[index, agent] : m_agents) {
                if (target(index).agent != next.to) {
                    continue;
                }
                AgentActions actions;
                agent->onPeerMessage(m_now, next.message, actions);
                enqueue(index, std::move(actions));
                break;
            }
        }
    }

    TimePoint m_now{1h};
    std::vector<Target> m_targets;
    std::map<int, std::unique_ptr<TargetAgent>> m_agents;
    std::map<int, std::set<FlowId>> m_targetFlows;
    std::map<int, Incarnation> m_targetIncarnations;
    std::deque<Queued> m_queue;
    std::deque<std::pair<int, TargetReplyBody>> m_replies;
    quint64 m_lastIncarnation = 0;
};

}
