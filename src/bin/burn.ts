#!/usr/bin/env node
/** `goldcrestloom-burn`: the service-level burn report. */
import {writeFile} from "node:fs/promises"
import {cac} from "cac"
import {z} from "zod"
import {HttpPlatform} from "../link/httpPlatform.js"
import {
	ExitCode,
	exitOnFault,
	formatFlagName,
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
	platform: {schema: settingSchemas.url, description: "URL of the platform"},
	serviceLevel: {
		schema: z.string().default(""),
		description: "Only this service level"
	},
	member: {schema: z.string().default(""), description: "Only this Member"},
	at: {
		schema: z
			.string()
			.default(() => new Date().toISOString())
			.transform(text => Date.parse(text))
			.refine(at => !Number.isNaN(at), "expected a time in RFC 3339"),
		description: "End of the period, now by default"
	},
	json: {schema: settingSchemas.boolean, description: "Print JSON"},
	html: {
		schema: settingSchemas.path,
		description: "Write an HTML page to this file"
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
		process.stderr.write(`${program}: ${messageOf(err)}\n`)
		process.exitCode = ExitCode.Failed
	}
}

function readCommandLine(): BurnSettings | undefined {
	const cli = cac(program)
	const command = cli.command("", "Reports how fast error budgets are spent")
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

await main()
