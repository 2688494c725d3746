/** Roles and states of hosts. */

export enum HostRole {
	Entry = "entry",
	Endpoint = "endpoint"
}

export enum HostState {
	Live = "live",
	Leaving = "leaving"
}
