#!/usr/bin/env node
/**
 * Prints the names that leave a process, as they stand in a commit: message,
 * stored and settings fields, enum values, headers, paths, flags, variables,
 * metrics, log fields. One name a line, sorted.
 *
 *   node scripts/listExternalNames.mjs COMMIT             names without spaces
 *   node scripts/listExternalNames.mjs COMMIT --phrases   test and fault names
 */
import {execFileSync} from "node:child_process"
import ts from "typescript"

const [commit, mode] = process.argv.slice(2)
if (commit === undefined) {
	console.error("usage: listExternalNames.mjs COMMIT [--phrases]")
	process.exit(2)
}

/** Files whose types and object literals are sent, stored or printed as JSON. */
const recordFiles = [
	/^src\/contract\/(fleet|names|errors)\.ts$/,
	/^src\/contract\/config\/(types|stored|parts|schema|sections)\.ts$/,
	/^src\/policy\/claimLog\.ts$/,
	/^src\/entry\/(completionWriter|outcome|callerServer)\.ts$/,
	/^src\/gateway\/(callerExchange|generationTask|serviceTask|fleetPublisher)\.ts$/,
	/^src\/link\/(engineClient|serviceClient|httpPlatform|sse)\.ts$/,
	/^src\/report\/(burnObject|readBurn)\.ts$/,
	/^src\/program\/(health|commonSpecs)\.ts$/,
	/^src\/(entry|endpoint|operator)\/settings\.ts$/,
	/^src\/operator\/(status|settings|lookUp|storedConfig)\.ts$/,
	/^platform\/(enginePort|settings|storeObjects|storeClient|storeFollower|wire)\.ts$/,
	/^standins\/(service|weightStore|relay)\.ts$/,
	/^standins\/(engine|platform|fleet)\/\w+\.ts$/
]
/** Calls whose object argument is printed, counted or sent under its keys. */
const recordCalls = new Set([
	"decide",
	"request",
	"info",
	"warn",
	"error",
	"debug",
	"inc",
	"observe",
	"increment",
	"stringify",
	"object",
	"create",
	"record"
])
const isTest = path => /__tests__\/|\.test\.ts$/.test(path)
const names = new Set()
const phrases = new Set()

function git(...args) {
	return execFileSync("git", args, {encoding: "utf8", maxBuffer: 1 << 28})
}

function add(name) {
	if (/^\S+$/.test(name) && /[A-Za-z]/.test(name)) names.add(name)
}

function toCamel(name) {
	if (name !== name.toLowerCase()) return name
	return name.replace(/_(\w)/g, (_, letter) => letter.toUpperCase())
}

function toWords(name, separator) {
	return name.replace(/[A-Z]/g, letter => separator + letter.toLowerCase())
}

function readProto(text) {
	const code = text.replace(/\/\/.*$/gm, "")
	for (const [, name] of code.matchAll(
		/\b(?:message|enum|service|rpc|oneof)\s+(\w+)/g
	)) {
		add(name)
	}
	for (const [, name] of code.matchAll(/\b([A-Za-z_]\w*)\s*=\s*\d+\s*[;[]/g)) {
		add(name)
		add(toCamel(name))
	}
}

function addKeys(literal) {
	const visit = node => {
		if (
			ts.isPropertyAssignment(node) ||
			ts.isShorthandPropertyAssignment(node)
		) {
			if (ts.isIdentifier(node.name) || ts.isStringLiteral(node.name)) {
				add(node.name.text)
			}
		}
		ts.forEachChild(node, visit)
	}
	visit(literal)
}

/** Keys of settings are flags and environment variables as well. */
function addSettings(literal) {
	for (const property of literal.properties) {
		const key = property.name?.text
		if (key === undefined) continue
		add(key)
		add(`--${toWords(key, "-")}`)
		add(`GOLDCRESTLOOM_${toWords(key, "_").toUpperCase()}`)
	}
}

function nameOfCall(node) {
	const {expression} = node
	if (ts.isPropertyAccessExpression(expression)) return expression.name.text
	return ts.isIdentifier(expression) ? expression.text : ""
}

const templateWord = /[A-Za-z/-][\w./-]*[-_./][\w-]+/g

function isTemplatePart(node) {
	return ts.isTemplateHead(node) || ts.isTemplateMiddleOrTemplateTail(node)
}

function isModuleName(node) {
	return (
		ts.isImportDeclaration(node.parent) || ts.isExportDeclaration(node.parent)
	)
}

function readSource(path, text) {
	const file = ts.createSourceFile(path, text, ts.ScriptTarget.Latest, true)
	const isRecordFile = recordFiles.some(pattern => pattern.test(path))
	const visit = node => {
		if (ts.isStringLiteralLike(node) && !isModuleName(node)) add(node.text)
		if (isTemplatePart(node)) {
			for (const word of node.text.match(templateWord) ?? []) add(word)
		}
		if (ts.isCallExpression(node) && recordCalls.has(nameOfCall(node))) {
			for (const arg of node.arguments) {
				if (ts.isObjectLiteralExpression(arg)) addKeys(arg)
			}
		}
		if (
			ts.isVariableDeclaration(node) &&
			/Specs$/.test(node.name.getText(file)) &&
			node.initializer !== undefined &&
			ts.isObjectLiteralExpression(node.initializer)
		) {
			addSettings(node.initializer)
		}
		if (isRecordFile) {
			if (ts.isPropertySignature(node)) add(node.name.getText(file))
			if (ts.isObjectLiteralExpression(node)) addKeys(node)
		}
		ts.forEachChild(node, visit)
	}
	visit(file)
}

/** Names that docs/FAULTS.md and its script look up. */
function readCells(text) {
	const file = ts.createSourceFile(
		"cells.ts",
		text,
		ts.ScriptTarget.Latest,
		true
	)
	const visit = node => {
		if (ts.isStringLiteralLike(node)) phrases.add(node.text)
		ts.forEachChild(node, visit)
	}
	visit(file)
}

for (const path of git("ls-tree", "-r", "--name-only", commit).split("\n")) {
	if (/^(journal|docs)\//.test(path) || path === "") continue
	const read = () => git("show", `${commit}:${path}`)
	if (path === "__tests__/faults/cells.ts") readCells(read())
	if (path.endsWith(".proto")) readProto(read())
	else if (/^(src|platform|standins|scripts)\/.*\.(ts|mjs)$/.test(path)) {
		if (!isTest(path) && !path.includes("/gen/")) readSource(path, read())
	} else if (/^(deploy|examples)\/.*\.(toml|yaml)$/.test(path)) {
		for (const [, key] of read().matchAll(
			/(?:^|[\s{,-])([A-Za-z_]\w*)\s*[=:]/gm
		)) {
			add(key)
		}
	} else if (path === "package.json") {
		const {bin, scripts} = JSON.parse(read())
		for (const name of [...Object.keys(bin), ...Object.keys(scripts)]) add(name)
	}
}
const found = mode === "--phrases" ? phrases : names
for (const name of [...found].sort()) console.log(name)
