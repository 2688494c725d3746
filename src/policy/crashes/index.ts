export * from "./charges.js"
export * from "./crashRecords.js"
export * from "./promptVerdict.js"
export * from "./requestPart.js"
