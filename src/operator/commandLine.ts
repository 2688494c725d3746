/** The command line: commands by group, their options and examples. */
import {type CAC, cac} from "cac"
import {
	formatFlagName,
	programVersion,
	restoreFlagText,
	formatVariableName
} from "../program/index.js"
import {operatorSpecs} from "./settings.js"

/** A parsed command. */
export interface Invocation {
	command: CommandName
	args: string[]
	/** Settings that were given as flags. */
	flags: Record<string, unknown>
	files: string[]
	json: boolean
	dryRun: boolean
}

export enum CommandName {
	Validate = "validate",
	Diff = "diff",
	Apply = "apply",
	History = "history",
	Status = "status",
	Get = "get",
	Drain = "drain",
	Prune = "prune"
}

interface CommandSpec {
	group: string
	/** As shown in help, such as `drain <host>`. */
	usage: string
	description: string
	example: string
	takesFiles: boolean
}

const commandSpecs: Readonly<Record<CommandName, CommandSpec>> = {
	[CommandName.Validate]: {
		group: "Files",
		usage: "validate [...files]",
		description: "Check files and list every fault",
		example: "validate -f settings.yaml -f adapters.yaml",
		takesFiles: true
	},
	[CommandName.Diff]: {
		group: "Files",
		usage: "diff [...files]",
		description: "Show what an apply would change",
		example: "diff -f examples/society --platform http://127.0.0.1:7000",
		takesFiles: true
	},
	[CommandName.Apply]: {
		group: "Files",
		usage: "apply [...files]",
		description: "Put files in force as a whole",
		example: "apply -f examples/society --operator ana",
		takesFiles: true
	},
	[CommandName.History]: {
		group: "What is in force",
		usage: "history",
		description: "List recent applies, newest first",
		example: "history --json",
		takesFiles: false
	},
	[CommandName.Status]: {
		group: "What is in force",
		usage: "status",
		description: "Show at which hosts the configuration is in force",
		example: "status --entries 127.0.0.1:7101,127.0.0.1:7102",
		takesFiles: false
	},
	[CommandName.Get]: {
		group: "What is in force",
		usage: "get <kind> <id>",
		description: "Show an adapter: get adapter BASE:NAME[@VERSION]",
		example: "get adapter loom-7b:m-0001@v1",
		takesFiles: false
	},
	[CommandName.Drain]: {
		group: "Hosts",
		usage: "drain <host>",
		description: "Let a host finish what it holds and leave",
		example: "drain loom-writers-3",
		takesFiles: false
	},
	[CommandName.Prune]: {
		group: "Upkeep",
		usage: "prune",
		description: "Remove stored parts that nothing has used for a day",
		example: "prune --dry-run",
		takesFiles: false
	}
}

const programName = "goldcrestloom"

/**
 * Parses the command line; undefined when only help or the version was asked
 * for.
 *
 * @throws Error naming an unknown command or flag, or a missing argument
 */
export function parseCommandLine(
	argv: readonly string[]
): Invocation | undefined {
	let invocation: Invocation | undefined
	const cli = createCli(found => {
		invocation = found
	})
	const {options} = cli.parse(["node", programName, ...argv], {run: false})
	Object.assign(options, restoreFlagText(options, argv))
	if (options.help === true || options.version === true) return undefined
	if (cli.matchedCommand === undefined) {
		const [name] = cli.args
		if (name !== undefined) throw new Error(`unknown command ${name}`)
		throw new Error(`a command is missing; ${programName} --help lists them`)
	}
	cli.runMatchedCommand()
	return invocation
}

function createCli(receive: (invocation: Invocation) => void): CAC {
	const cli = cac(programName)
	for (const [key, spec] of Object.entries(operatorSpecs)) {
		const placeholder = "placeholder" in spec ? spec.placeholder : "value"
		const text = `${spec.description} (${formatVariableName(key)})`
		cli.option(`--${formatFlagName(key)} <${placeholder}>`, text)
	}
	cli.option("--json", "Print JSON instead of tables")
	for (const name of Object.values(CommandName)) {
		addCommand(cli, name, receive)
	}
	cli.help(groupCommands)
	cli.version(programVersion)
	return cli
}

function addCommand(
	cli: CAC,
	name: CommandName,
	receive: (invocation: Invocation) => void
): void {
	const spec = commandSpecs[name]
	const command = cli.command(spec.usage, spec.description)
	if (spec.takesFiles) {
		command.option("-f, --file <path>", "File or directory; may be repeated")
	}
	if (name === CommandName.Apply || name === CommandName.Prune) {
		command.option("--dry-run", "Only show what would change")
	}
	command.example(`  ${programName} ${spec.example}`)
	command.action((...values: unknown[]) => {
		const options = values.pop() as Record<string, unknown>
		receive(createInvocation(name, values.flat().map(String), options))
	})
}

function createInvocation(
	command: CommandName,
	args: string[],
	options: Record<string, unknown>
): Invocation {
	const settings = Object.entries(options).filter(([key]) =>
		Object.hasOwn(operatorSpecs, key)
	)
	const named = [options.file ?? []].flat().map(String)
	return {
		command,
		args,
		flags: Object.fromEntries(settings),
		files: commandSpecs[command].takesFiles ? [...named, ...args] : [],
		json: options.json === true,
		dryRun: options.dryRun === true
	}
}

interface HelpSection {
	title?: string
	body: string
}

/** Replaces cac's single list of commands by one list for each group. */
function groupCommands(sections: HelpSection[]): HelpSection[] {
	const index = sections.findIndex(({title}) => title === "Commands")
	if (index < 0) return sections
	const usages = Object.values(commandSpecs).map(({usage}) => usage.length)
	const width = Math.max(...usages)
	const groups = new Map<string, string[]>()
	for (const spec of Object.values(commandSpecs)) {
		const lines = groups.get(spec.group) ?? []
		lines.push(`  ${spec.usage.padEnd(width)}  ${spec.description}`)
		lines.push(`  ${" ".repeat(width)}  $ ${programName} ${spec.example}`)
		groups.set(spec.group, lines)
	}
	const grouped = [...groups].map(([title, lines]) => ({
		title,
		body: lines.join("\n")
	}))
	return sections
		.toSpliced(index, 1, ...grouped)
		.filter(({title}) => title?.startsWith("For more info") !== true)
}
