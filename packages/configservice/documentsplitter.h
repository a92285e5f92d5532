#pragma once

#include "configservice/documentmanifest.h"

#include <QByteArray>
#include <QString>

#include <map>

namespace Rattanpick
{

/// The values under which operators store one document.
struct SplitDocument
{
    /// The value `document`. Must be stored last, so that readers find every part listed in it.
    QByteArray value;
    /// The values of the parts by name; empty if the document fits into one value.
    std::map<QString, QByteArray> parts;
};

/// Splits a document into values of at most @p maximumBytes each. @p version is the version number of the document.
SplitDocument splitDocument(const QByteArray &text, quint64 version, qsizetype maximumBytes = maximumValueBytes);

}
