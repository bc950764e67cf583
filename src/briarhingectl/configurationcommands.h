#pragma once

#include "commandline.h"
#include "exitcodes.h"

namespace briarhinge::ctl
{

/**
 * Prints how a declaration file differs from the accepted revision.
 *
 * @param line command line; its argument is the file, or "-" for standard input
 * @return exit code of the tool
 */
ExitCode plan(const CommandLine &line);

/**
 * Proposes a declaration file as a new revision.
 *
 * @param line command line; its argument is the file, or "-" for standard input
 * @return exit code of the tool
 */
ExitCode apply(const CommandLine &line);

/**
 * Proposes the declaration of an older revision as a new revision.
 *
 * @param line command line; its argument is the older revision
 * @return exit code of the tool
 */
ExitCode rollback(const CommandLine &line);

/**
 * Prints a declaration.
 *
 * @param line command line; its optional argument is the revision, by default the accepted one
 * @return exit code of the tool
 */
ExitCode show(const CommandLine &line);

/**
 * Prints every revision with the number of its changes.
 *
 * @param line command line without arguments
 * @return exit code of the tool
 */
ExitCode history(const CommandLine &line);

/**
 * Prints the audit entry of every change.
 *
 * @param line command line without arguments
 * @return exit code of the tool
 */
ExitCode audit(const CommandLine &line);

}
