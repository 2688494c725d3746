export * from "./common.js"
export * from "./suspension.js"
