#pragma once

#include "core/event.h"

#include <QList>
#include <QString>

namespace Rattanpick
{

/// Which flows a trace is about.
struct FlowSelector
{
    /// The flow as events name it, such as "udp 100.64.0.7:40001 -> 198.18.0.1:443"; empty for all flows of a caller.
    QString flow;
    /// Address of a caller, with or without a port; empty if a flow is named.
    QString caller;

    /// Whether the events of @p name belong to the trace.
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

/// What every process decided about the flows of a caller, and what those processes believed meanwhile.
class FlowTrace
{
public:
    /// Selects from @p events, which are in the order of their Lamport clocks.
    FlowTrace(const QList<Event> &events, const FlowSelector &selector);

    /// The flows in the order of their first decisions.
    const QList<TracedFlow> &flows() const
    {
        return m_flows;
    }

    /// Changes of what the processes of these decisions believed: starts, stops, pauses, targets, versions, sources; from
    /// some time before the first decision to the last one.
    const QList<Event> &context() const
    {
        return m_context;
    }

    /// The trace for people: a heading for each flow, a line for each decision, then the context.
    QString toText() const;

private:
    QList<TracedFlow> m_flows;
    QList<Event> m_context;
};

}
