#pragma once

#include <QString>
#include <QTextStream>

namespace Rattanpick
{

/// The program rattanpickctl without its main(), so that tests can run it in their own process.
class ControlProgram
{
public:
    /// Builds a program that writes to the given streams, which must outlive it.
    ControlProgram(QTextStream &out, QTextStream &err);

    /// Runs one command line, program name first; the exit code.
    int run(int argumentCount, const char *const *arguments);

private:
    QTextStream &m_out;
    QTextStream &m_err;
};

}
