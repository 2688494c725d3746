export * from "./types.js"
