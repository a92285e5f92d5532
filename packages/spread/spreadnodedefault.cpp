#include "spread/spreadnode.h"

namespace Rattanpick
{

SpreadNode::SpreadNode(const SpreadNodeSettings &settings, TimePoint now)
    : SpreadNode(settings, SpreadStrategy{.parser = documentReaderParser()}, now)
{
}

}
