#pragma once

#include "rattanpickd/stream/streamcontext.h"

namespace Rattanpick
{

/// Asks the directory source for its revision while the directory duty waits in a watch.
class VerificationWorker
{
public:
    /// Builds the duty; the context must outlive it.
    explicit VerificationWorker(StreamContext &context);

    /// Works until the context ends.
    void run();

private:
    StreamContext &m_context;
};

}
