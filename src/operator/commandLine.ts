/** Parses the operator's command line and writes its help, grouped by topic. */
import {type CAC, cac} from "cac"
import {
	formatFlagName,
	programVersion,
	restoreFlagText,
	formatVariableName
} from "../program/index.js"
import {operatorSpecs} from "./settings.js"

/** A parsed command line. */
export interface Invocation {
	command: CommandName
	args: string[]
	/** Settings given as flags, by setting key. */
	flags: Record<string, unknown>
	/** Paths given by `--file` and, for commands on files, as arguments. */
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
	/** Heading of the command's section in help. */
	group: string
	/** As shown in help, such as `drain <host>`. */
	usage: string
	description: string
	example: string
	/** Whether the command reads configuration files. */
	takesFiles: boolean
}

const commandSpecs: Readonly<Record<CommandName, CommandSpec>> = {
	[CommandName.Validate]: {
		group: "Files",
		usage: "validate [...files]",
		description: "Check configuration files and list all faults",
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
		description: "Apply files as the next generation, all or nothing",
		example: "apply -f examples/society --operator ana",
		takesFiles: true
	},
	[CommandName.History]: {
		group: "Accepted configuration",
		usage: "history",
		description: "List recent applies, newest first",
		example: "history --json",
		takesFiles: false
	},
	[CommandName.Status]: {
		group: "Accepted configuration",
		usage: "status",
		description: "Show at which hosts the accepted configuration is in force",
		example: "status --entries 127.0.0.1:7101,127.0.0.1:7102",
		takesFiles: false
	},
	[CommandName.Get]: {
		group: "Accepted configuration",
		usage: "get <kind> <id>",
		description: "Show an adapter: get adapter BASE:NAME[@VERSION]",
		example: "get adapter loom-7b:m-0001@v1",
		takesFiles: false
	},
	[CommandName.Drain]: {
		group: "Hosts",
		usage: "drain <host>",
		description:
			"Stop new work at a host; it finishes requests, up to its --drain-ms, and exits",
		example: "drain loom-writers-3",
		takesFiles: false
	},
	[CommandName.Prune]: {
		group: "Upkeep",
		usage: "prune",
		description:
			"Remove stored parts that are unused and were not written for a day",
		example: "prune --dry-run",
		takesFiles: false
	}
}

const programName = "goldcrestloom"

/**
 * Parses the command line. Returns undefined when it asks for help or the
 * version, which the parser has printed then.
 *
 * @throws Error on an unknown command or flag, or a missing argument
 */
export function parseCommandLine(
	argv: readonly string[]
): Invocation | undefined {
	let invocation: Invocation | undefined
	const cli = createCli(parsed => {
		invocation = parsed
	})
	const {options} = cli.parse(["node", programName, ...argv], {run: false})
	Object.assign(options, restoreFlagText(options, argv))
	if (options.help === true || options.version === true) return undefined
	if (cli.matchedCommand === undefined) {
		const [name] = cli.args
		if (name !== undefined) throw new Error(`unknown command ${name}`)
		throw new Error(
			`no command is given; ${programName} --help lists the commands`
		)
	}
	cli.runMatchedCommand()
	return invocation
}

function createCli(onInvocation: (invocation: Invocation) => void): CAC {
	const cli = cac(programName)
	for (const [key, spec] of Object.entries(operatorSpecs)) {
		const placeholder = "placeholder" in spec ? spec.placeholder : "value"
		const text = `${spec.description} (${formatVariableName(key)})`
		cli.option(`--${formatFlagName(key)} <${placeholder}>`, text)
	}
	cli.option("--json", "Print JSON instead of tables")
	for (const name of Object.values(CommandName)) {
		addCommand(cli, name, onInvocation)
	}
	cli.help(groupCommandHelp)
	cli.version(programVersion)
	return cli
}

function addCommand(
	cli: CAC,
	name: CommandName,
	onInvocation: (invocation: Invocation) => void
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
		onInvocation(createInvocation(name, values.flat().map(String), options))
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
	const filesByFlag = [options.file ?? []].flat().map(String)
	return {
		command,
		args,
		flags: Object.fromEntries(settings),
		files: commandSpecs[command].takesFiles ? [...filesByFlag, ...args] : [],
		json: options.json === true,
		dryRun: options.dryRun === true
	}
}

interface HelpSection {
	title?: string
	body: string
}

/** Replaces cac's single list of commands by one section for each group. */
function groupCommandHelp(sections: HelpSection[]): HelpSection[] {
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
