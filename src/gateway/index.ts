export * from "./fleetState.js"
export * from "./gatewayTask.js"
export * from "./wire.js"
