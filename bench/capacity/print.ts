/** Formats measured values for the console. */

export type Cell = string | number

/** Prints a table that can be pasted into a Markdown page. */
export function printTable(
	title: string,
	header: readonly string[],
	rows: readonly (readonly Cell[])[]
): void {
	console.log(`\n${title}\n`)
	console.log(formatRow(header))
	console.log(formatRow(header.map(() => "---")))
	for (const row of rows) console.log(formatRow(row))
}

/** Formats a number with three significant digits, without an exponent. */
export function formatNumber(value: number): string {
	if (value === 0) return "0"
	const digits = 2 - Math.floor(Math.log10(Math.abs(value)))
	return value.toFixed(Math.min(6, Math.max(0, digits)))
}

function formatRow(cells: readonly Cell[]): string {
	const texts = cells.map(cell =>
		typeof cell === "number" ? formatNumber(cell) : cell
	)
	return `| ${texts.join(" | ")} |`
}
