/** Tickets name the host that minted them, so that any entry can route them. */

const ticketPrefix = "ticket."

/** The minting host of a ticket, empty when the key is an ordinary one. */
export function readTicketHost(key: string): string {
	if (!key.startsWith(ticketPrefix)) return ""
	const rest = key.slice(ticketPrefix.length)
	const separator = rest.indexOf("~")
	return separator < 0 ? "" : rest.slice(0, separator)
}
