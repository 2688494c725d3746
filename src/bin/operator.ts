#!/usr/bin/env node
/** The operator command: applies files, shows what is in force, drains hosts. */
import {ConsoleOutput, runOperator} from "../operator/index.js"

process.exitCode = await runOperator(
	process.argv.slice(2),
	process.env,
	new ConsoleOutput()
)
