export * from "./common.js"
