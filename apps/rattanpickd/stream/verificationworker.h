#pragma once

#include "rattanpickd/stream/eralog.h"
#include "rattanpickd/stream/streamcontext.h"

namespace Rattanpick
{

/// Asks the directory source for its current position while the directory worker blocks in a watch.
class VerificationWorker
{
public:
    /// @p context must outlive the worker.
    explicit VerificationWorker(StreamContext &context);

    /// Works until the context ends.
    void run();

private:
    StreamContext &m_context;
    EraLog m_eraLog;
};

}
