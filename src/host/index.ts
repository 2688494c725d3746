export * from "./host.js"
