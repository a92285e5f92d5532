#include "stream/relaychoice.h"

namespace Rattanpick::RelayChoice
{

const TargetDirectory::Entry *
choose(const TargetDirectory &directory, const QString &dataCentre, TargetId target, const FlowKey &flow, const std::function<bool(TargetId)> &isSilent)
{
    const TargetDirectory::Entry *receiver = directory.find(target);
    if (receiver == nullptr || !receiver->isPresent() || receiver->target.dataCentre == dataCentre) {
        return nullptr;
    }
    const TargetDirectory::Entry *best = nullptr;
    quint64 bestHash = 0;
    for (const auto &[id, entry] : directory.entries()) {
        const QString &place = entry.target.dataCentre;
        if (!entry.isPresent() || place == dataCentre || place == receiver->target.dataCentre || directory.isOut(place) || isSilent(id)) {
            continue;
        }
        const quint64 hash = hashPair(flow.hash(), static_cast<quint64>(id));
        if (best == nullptr || hash > bestHash) {
            best = &entry;
            bestHash = hash;
        }
    }
    return best;
}

}
