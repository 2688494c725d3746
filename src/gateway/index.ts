export * from "./fleetState.js"
export * from "./gatewayTask.js"
export * from "./identity/configFreshness.js"
export * from "./wire.js"
