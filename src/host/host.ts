/** Hosts of the system: what they are and what is known of them. */

export enum HostRole {
	Entry = "entry",
	Endpoint = "endpoint"
}

export enum HostState {
	Live = "live",
	Leaving = "leaving"
}
