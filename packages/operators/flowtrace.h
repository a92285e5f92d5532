#pragma once

#include "core/event.h"

#include <QList>
#include <QString>

namespace Rattanpick
{

/// Selects the flows of a trace.
struct FlowSelector
{
    /// The flow as named in events, such as "udp 100.64.0.7:40001 -> 198.18.0.1:443"; empty for all flows of a caller.
    QString flow;
    /// Address of a caller, with or without a port; empty if a flow is given.
    QString caller;

    /// Whether the events of the flow @p name belong to the trace.
    bool matches(const QString &name) const;

    bool operator==(const FlowSelector &) const = default;
};

/// The decisions about one flow, in causal order.
struct TracedFlow
{
    QString flow;
    QList<Event> decisions;

    bool operator==(const TracedFlow &) const = default;
};

/// The decisions of all processes about the selected flows, together with other events of these processes that explain
/// the decisions.
class FlowTrace
{
public:
    /// Selects from @p events, which must be ordered by Lamport clock.
    FlowTrace(const QList<Event> &events, const FlowSelector &selector);

    /// The flows, ordered by their first decisions.
    const QList<TracedFlow> &flows() const
    {
        return m_flows;
    }

    /// Events of the same processes that belong to no flow and changed the state on which the decisions were based:
    /// starts, stops, pauses, targets, versions and sources. Covers the time from shortly before the first decision to
    /// the last one.
    const QList<Event> &context() const
    {
        return m_context;
    }

    /// Formats the trace as text: a heading for each flow, a line for each decision, then the context.
    QString toText() const;

private:
    QList<TracedFlow> m_flows;
    QList<Event> m_context;
};

}
