#pragma once

#include "base/ids.h"
#include "commandline.h"
#include "exitcodes.h"

namespace briarhinge::ctl
{

/**
 * Prints the status of every process.
 *
 * @param line command line without arguments
 * @return exit code of the tool
 */
ExitCode status(const CommandLine &line);

/**
 * Makes a process refuse new work.
 *
 * @param line command line; its argument is the name of the process
 * @return exit code of the tool
 */
ExitCode drain(const CommandLine &line);

/**
 * Prints the programs that each entry owns.
 *
 * @param line command line without arguments
 * @return exit code of the tool
 */
ExitCode programs(const CommandLine &line);

/**
 * Prints one program.
 *
 * @param line command line; its argument is the program id
 * @return exit code of the tool
 */
ExitCode showProgram(const CommandLine &line);

/**
 * Ends a program.
 *
 * @param line command line; its argument is the program id
 * @return exit code of the tool
 */
ExitCode endProgram(const CommandLine &line);

/**
 * Prints the metrics of the entry.
 *
 * @param line command line without arguments
 * @return exit code of the tool
 */
ExitCode metrics(const CommandLine &line);

/**
 * Polls the entry until every process has a revision in force or the wait limit has passed, and prints which processes
 * have it and which don't.
 *
 * @param line command line with the entry and the wait limit
 * @param revision lowest revision that counts as in force
 * @return Ok, or NotInForce if a process lacks the revision or the entry didn't answer until the wait limit passed
 */
ExitCode waitUntilInForce(const CommandLine &line, base::Revision revision);

}
