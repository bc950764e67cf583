#pragma once

#include "commandline.h"
#include "exitcodes.h"

namespace briarhinge::ctl
{

/** Prints what applying a file would change. @param line the command line @return how it ended */
ExitCode plan(const CommandLine &line);

/** Puts a file in force as a new revision. @param line the command line @return how it ended */
ExitCode apply(const CommandLine &line);

/** Puts an older revision in force as a new one. @param line the command line @return how it ended */
ExitCode rollback(const CommandLine &line);

/** Prints a declaration. @param line the command line @return how it ended */
ExitCode show(const CommandLine &line);

/** Prints every revision. @param line the command line @return how it ended */
ExitCode history(const CommandLine &line);

/** Prints every change with its audit entry. @param line the command line @return how it ended */
ExitCode audit(const CommandLine &line);

}
