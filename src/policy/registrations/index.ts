export * from "./departures.js"
export * from "./storeOutage.js"
export * from "./storeRevision.js"
