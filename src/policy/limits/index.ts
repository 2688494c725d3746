export * from "./statedLimits.js"
