/** Output of the operator command: lines, tables and JSON. */

/** Prints results and errors of a command. */
export abstract class Output {
	/** Prints a line of the result. */
	abstract line(text: string): void

	/** Prints an error or a warning. */
	abstract error(text: string): void

	lines(texts: readonly string[]): void {
		for (const text of texts) this.line(text)
	}

	json(value: unknown): void {
		this.line(JSON.stringify(value, undefined, "\t"))
	}

	/** Prints rows in aligned columns below a heading. */
	table(headings: readonly string[], rows: readonly string[][]): void {
		const widths = headings.map((heading, column) =>
			Math.max(heading.length, ...rows.map(row => row[column]?.length ?? 0))
		)
		for (const row of [headings, ...rows]) {
			const cells = row.map((cell, column) => cell.padEnd(widths[column] ?? 0))
			this.line(cells.join("  ").trimEnd())
		}
	}
}

/** Prints results to standard output, and errors and warnings to standard error. */
export class ConsoleOutput extends Output {
	line(text: string): void {
		console.log(text)
	}

	error(text: string): void {
		console.error(`goldcrestloom: ${text}`)
	}
}
