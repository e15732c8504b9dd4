// Package prefix estimates which beginnings of prompts the engines of a service have cached. It is pure: it knows no clock, and
// measures age in tokens, since an engine evicts the least recently used parts when others need their memory.
package prefix
