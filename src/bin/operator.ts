#!/usr/bin/env node
/**
 * The `goldcrestloom` operator command: applies configuration files, shows the
 * accepted configuration and where it is in force, and drains hosts.
 */
import {ConsoleOutput, runOperator} from "../operator/index.js"
import {outliveReaders} from "../program/logOutput.js"

outliveReaders()
process.exitCode = await runOperator(
	process.argv.slice(2),
	process.env,
	new ConsoleOutput()
)
