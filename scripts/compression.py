#!/usr/bin/env python3
"""Prints how far zlib at level 1 compresses documents like those that instances send to each other."""
import json
import random
import string
import zlib

random.seed(1)
r=lambda n:''.join(random.choice(string.ascii_lowercase+string.digits) for _ in range(n))
def conf(routes,accounts):
    rs=[{"name":"r-"+r(7),"hostname":r(6)+".example","pathPrefix":"/"+r(7)+"/"+r(4)+"/","routeType":random.choice(["safe","unsafe","streaming"]),"timeoutMs":random.choice([800,5000,8000,25000]),"targetLatencyMs":2000,"targetGapMs":1000,"priority":1,"service":r(7),"maxAttempts":3,"public":False,"resumable":True,"sessionAffinity":True,"sizes":["a","b","c"]} for _ in range(routes)]
    return json.dumps({"version":4,"routes":rs,"tenants":[{"name":r(7),"apiKeys":[r(20) for _ in range(3)]} for _ in range(accounts)]}).encode()
eps=json.dumps([{"service":"babo35a","address":"10.%d.64.%d:8444"%(random.randint(1,3),random.randint(2,250)),"zone":"milano-a","version":"v1","slots":12,"state":"ready","coldRemainingMs":0,"sequence":random.randint(1,99),"key":"servers/i-"+r(10)} for _ in range(112)]).encode()
for n,b in [("49 routes, 24 accounts",conf(49,24)),("400 routes, 24 accounts",conf(400,24)),("112 endpoints",eps)]:
    print(n,len(b),len(zlib.compress(b,1)),round(len(zlib.compress(b,1))/len(b),3))
