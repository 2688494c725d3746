export * from "./fleetStore.js"
export * from "./worker.js"
