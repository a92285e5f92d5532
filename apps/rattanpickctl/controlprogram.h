#pragma once

#include <QString>
#include <QTextStream>

namespace Rattanpick
{

/// The program rattanpickctl without main(), so that tests can run it in their own process.
class ControlProgram
{
public:
    /// @p out and @p err must outlive the program.
    ControlProgram(QTextStream &out, QTextStream &err);

    /// Runs a command line that starts with the program name; returns the exit code.
    int run(int argumentCount, const char *const *arguments);

private:
    QTextStream &m_out;
    QTextStream &m_err;
};

}
