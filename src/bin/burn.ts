#!/usr/bin/env node
/** The `goldcrestloom-burn` command: prints the service-level burn report. */
import {writeFile} from "node:fs/promises"
import {cac} from "cac"
import {z} from "zod"
import {HttpPlatform} from "../link/httpPlatform.js"
import {
	ExitCode,
	exitOnFault,
	formatFlagName,
	outliveReaders,
	printError,
	settingSchemas,
	programVersion,
	readSettings,
	restoreFlagText,
	type SettingsOf,
	formatVariableName
} from "../program/index.js"
import {
	type BurnReport,
	readBurnReport,
	renderBurnHtml,
	renderBurnText
} from "../report/index.js"
import {messageOf} from "../utils/common.js"

const program = "goldcrestloom-burn"

const specs = {
	platform: {
		schema: settingSchemas.url,
		description: "URL of the platform's object API"
	},
	serviceLevel: {
		schema: z.string().default(""),
		description: "Report only this service level; all by default"
	},
	member: {
		schema: z.string().default(""),
		description: "Report only this Member; all by default"
	},
	at: {
		schema: z
			.string()
			.default(() => new Date().toISOString())
			.transform(text => Date.parse(text))
			.refine(at => !Number.isNaN(at), "expected a time in RFC 3339"),
		description: "End of the 24 hours to report (RFC 3339); now by default"
	},
	json: {
		schema: settingSchemas.boolean,
		description: "Print the report as JSON"
	},
	html: {
		schema: settingSchemas.path,
		description: "Also write the report as an HTML page to this file"
	}
}

type BurnSettings = SettingsOf<typeof specs>

async function main(): Promise<void> {
	const settings = readCommandLine()
	if (settings === undefined) return
	try {
		const report = await readBurnReport({
			platform: new HttpPlatform({url: settings.platform}),
			at: settings.at,
			serviceLevel: settings.serviceLevel,
			member: settings.member
		})
		await printReport(report, settings)
	} catch (err) {
		printError(`${program}: ${messageOf(err)}`)
		process.exitCode = ExitCode.Failed
	}
}

/**
 * Reads the settings from flags and environment variables. Returns undefined when
 * help or the version was printed; exits the process on invalid settings.
 */
function readCommandLine(): BurnSettings | undefined {
	const cli = cac(program)
	const command = cli.command(
		"",
		"Reports how fast requests spend the error budgets of service levels"
	)
	for (const [key, {description}] of Object.entries(specs)) {
		const value = key === "json" ? "" : " <value>"
		const text = `${description} (${formatVariableName(key)})`
		command.option(`--${formatFlagName(key)}${value}`, text)
	}
	command.example(
		`${program} --platform http://127.0.0.1:7000 --html burn.html`
	)
	cli.help()
	cli.version(programVersion)
	try {
		const {options} = cli.parse(process.argv, {run: false})
		if (options.help === true || options.version === true) return undefined
		const flags = restoreFlagText(options, process.argv)
		return readSettings(specs, flags, process.env)
	} catch (err) {
		exitOnFault(program, err)
	}
}

/** Prints the report and, if a file is set, writes the HTML page to it. */
async function printReport(
	report: BurnReport,
	{json, html}: BurnSettings
): Promise<void> {
	if (html !== "") await writeFile(html, renderBurnHtml(report))
	const text = json
		? `${JSON.stringify(report, null, "\t")}\n`
		: renderBurnText(report)
	process.stdout.write(text)
}

outliveReaders()
await main()
