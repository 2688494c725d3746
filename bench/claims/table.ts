/** Prints a Markdown table under a title. */
export function printTable(
	title: string,
	columns: readonly string[],
	rows: readonly (readonly (string | number)[])[]
): void {
	console.log(title)
	console.log(`\n| ${columns.join(" | ")} |`)
	console.log(`|${columns.map(() => " --- |").join("")}`)
	for (const row of rows) console.log(`| ${row.join(" | ")} |`)
	console.log()
}
