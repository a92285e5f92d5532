#pragma once

#include "proof/fault.h"

#include <functional>
#include <vector>

namespace Rattanpick::Proof
{

class ScenarioRun;

/// Injects the faults of a plan into a run and undoes them.
class FaultInjector
{
public:
    /// Creates an injector for the run, which must outlive it.
    explicit FaultInjector(ScenarioRun &run);

    /// Schedules the faults; their times count from @p begin from now.
    void schedule(const FaultPlan &plan, Duration begin);

    /// Begins a fault now; it is undone after its duration or by undoAll().
    void begin(const Fault &fault);

    /// Undoes all faults that are still active.
    void undoAll();

private:
    using Undo = std::function<void()>;

    Undo beginProcessFault(const Fault &fault);
    Undo beginNetworkFault(const Fault &fault);
    Undo beginTargetFault(const Fault &fault);
    Undo beginPlatformFault(const Fault &fault);
    Undo beginOperatorChange(const Fault &fault);

    Undo cutOff(const std::vector<std::size_t> &processes, const std::function<bool(std::size_t)> &from);
    Undo withdrawTarget(std::size_t target, bool isRemoved);
    Undo takeOut(std::size_t dataCentre);
    void raceDocuments(std::size_t subject);
    bool canLeaveService(std::size_t target) const;
    std::size_t listedTarget(std::size_t subject) const;
    void undo(std::size_t number);

    ScenarioRun &m_run;
    /// Undo action of each fault that has begun; empty once undone.
    std::vector<Undo> m_undos;
};

}
