#pragma once

#include "rattanpickd/stream/streamcontext.h"

#include <QSet>

namespace Rattanpick
{

/// Records what is wrong with the eras that one connection to the directory source names. Each problem is counted, and logged once.
class EraLog
{
public:
    /// @p context must outlive the log; @p connection is what the connection is used for.
    EraLog(StreamContext &context, const QString &connection);

    /// Records the problem of the answer, if it has one.
    void record(const SourceAnswer &answer);

private:
    StreamContext &m_context;
    QString m_connection;
    QSet<EraProblem> m_logged;
};

}
