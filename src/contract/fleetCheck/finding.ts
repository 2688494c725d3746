/** Something in a configuration that is valid and hardly what the operator wants. */
export interface Finding {
	/** Kind and name of the entry, such as `route draft`. */
	entry: string
	text: string
}

/** Returns a finding of the entry if the condition holds, for use with `flat`. */
export function findIf(
	condition: boolean,
	entry: string,
	text: string
): Finding[] {
	return condition ? [{entry, text}] : []
}

export function routeEntry({name}: {name: string}): string {
	return `route ${name}`
}

export function poolEntry({name}: {name: string}): string {
	return `service ${name}`
}

export function memberEntry({name}: {name: string}): string {
	return `Member ${name}`
}
