#include "controlprogram.h"

#include <cstdio>

int main(int argumentCount, char **arguments)
{
    QTextStream out(stdout);
    QTextStream err(stderr);
    return Rattanpick::ControlProgram(out, err).run(argumentCount, arguments);
}
