#include "core/identifiers.h"

#include <xxhash.h>

#include <array>

namespace Rattanpick
{

namespace
{

quint32 nonZeroHash32(QByteArrayView bytes, quint32 seed)
{
    const quint32 hash = XXH32(bytes.data(), static_cast<std::size_t>(bytes.size()), seed);
    return hash == 0 ? 1 : hash;
}

}

quint64 hashBytes(QByteArrayView bytes, quint64 seed)
{
    return XXH64(bytes.data(), static_cast<std::size_t>(bytes.size()), seed);
}

quint64 hashPair(quint64 first, quint64 second)
{
    const std::array<quint64, 2> words{first, second};
    return XXH3_64bits(words.data(), sizeof(words));
}

ServiceId serviceIdOf(QByteArrayView name)
{
    return ServiceId{nonZeroHash32(name, 1)};
}

TargetId targetIdOf(QByteArrayView name)
{
    return TargetId{nonZeroHash32(name, 2)};
}

}
