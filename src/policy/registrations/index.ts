export * from "./departures.js"
export * from "./storeRevision.js"
