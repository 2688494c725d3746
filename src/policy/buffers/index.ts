export * from "./bufferLedger.js"
